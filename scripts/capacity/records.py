"""Configuration records in the proportions of the size to design for."""

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

ALL_RECORDS: Final = 9_600
ENGINES: Final = 1_400
ACCOUNTS: Final = 5_400
MODELS: Final = 10
ZONES: Final = 8


def records(count: int) -> dict[str, Record]:
    """Services, engines, accounts and schedule rows: ``count`` in all."""
    share = (count - MODELS) / (ALL_RECORDS - MODELS)
    made: list[tuple[str, Record]] = []
    for n in range(MODELS):
        name = f"service-{n}"
        made.append(
            (f"service/{name}", ServiceRecord(name, models=[f"model-{n}"]))
        )
    made += [_engine(n) for n in range(round(ENGINES * share))]
    made += [_account(n) for n in range(round(ACCOUNTS * share))]
    made += [_row(n) for n in range(count - len(made))]
    return dict(made)


def document(count: int) -> Document:
    """Version 1 of a configuration with ``count`` records."""
    return Document().propose(Document(), records(count), "made").unwrap()


def _engine(n: int) -> tuple[str, Record]:
    name = f"engine-{n:04d}"
    record = EngineRecord(
        name,
        service=f"service-{n % MODELS}",
        agent_address=f"10.{n % ZONES}.{n // 250}.{n % 250}:7400",
        zone=f"zone-{n % ZONES}",
        role="prefill" if n % 3 == 0 else "decode",
        model=f"model-{n % MODELS}",
    )
    return f"engine/{name}", record


def _account(n: int) -> tuple[str, Record]:
    name = f"account-{n:04d}"
    return f"account/{name}", AccountRecord(name, requests_per_s=2.0)


def _row(n: int) -> tuple[str, Record]:
    name = f"row-{n:04d}"
    record = ScheduleRecord(
        name,
        day="monday",
        service=f"service-{n % MODELS}",
        engine=f"engine-{n % ENGINES:04d}",
        role="decode",
        model=f"model-{n % MODELS}",
        starts="06:00",
        ends="18:00",
        time_zone="Europe/Bratislava",
    )
    return f"schedule/{name}", record
