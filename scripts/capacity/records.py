"""Synthetic configuration records, in the proportions of the design size."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.state.configuration import Document
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRecord,
    ScheduleRecord,
    ServiceRecord,
)

if TYPE_CHECKING:
    from gooseberrypost.state.records import Record

TOTAL_RECORDS: Final = 9_600
"""Records at the design size; those not counted below are schedule rows."""
ENGINE_COUNT: Final = 1_400
ACCOUNT_COUNT: Final = 5_400
MODEL_COUNT: Final = 10
ZONE_COUNT: Final = 8


def make_records(count: int) -> dict[str, Record]:
    """Return ``count`` services, engines, accounts and schedule rows."""
    fraction = (count - MODEL_COUNT) / (TOTAL_RECORDS - MODEL_COUNT)
    pairs: list[tuple[str, Record]] = []
    for n in range(MODEL_COUNT):
        name = f"service-{n}"
        pairs.append(
            (f"service/{name}", ServiceRecord(name, models=[f"model-{n}"]))
        )
    pairs += [_engine(n) for n in range(round(ENGINE_COUNT * fraction))]
    pairs += [_account(n) for n in range(round(ACCOUNT_COUNT * fraction))]
    pairs += [_schedule_row(n) for n in range(count - len(pairs))]
    return dict(pairs)


def make_document(count: int) -> Document:
    """Return version 1 of a configuration with ``count`` records."""
    return Document().propose(Document(), make_records(count), "made").unwrap()


def _engine(n: int) -> tuple[str, Record]:
    name = f"engine-{n:04d}"
    record = EngineRecord(
        name,
        service=f"service-{n % MODEL_COUNT}",
        agent_address=f"10.{n % ZONE_COUNT}.{n // 250}.{n % 250}:7400",
        zone=f"zone-{n % ZONE_COUNT}",
        role="prefill" if n % 3 == 0 else "decode",
        model=f"model-{n % MODEL_COUNT}",
    )
    return f"engine/{name}", record


def _account(n: int) -> tuple[str, Record]:
    name = f"account-{n:04d}"
    return f"account/{name}", AccountRecord(name, requests_per_s=2.0)


def _schedule_row(n: int) -> tuple[str, Record]:
    name = f"row-{n:04d}"
    record = ScheduleRecord(
        name,
        day="monday",
        service=f"service-{n % MODEL_COUNT}",
        engine=f"engine-{n % ENGINE_COUNT:04d}",
        role="decode",
        model=f"model-{n % MODEL_COUNT}",
        starts="06:00",
        ends="18:00",
        time_zone="Europe/Bratislava",
    )
    return f"schedule/{name}", record
