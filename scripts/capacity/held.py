"""State held, in bytes an object, measured with ``tracemalloc``."""

from __future__ import annotations

import gc
import tracemalloc
from typing import TYPE_CHECKING, Any, Final

from scripts.capacity.fit import report
from scripts.capacity.records import document

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.entry.fleet import _initial_view
from gooseberrypost.entry.sections import LiveRequest
from gooseberrypost.policy.limits import Limiter
from gooseberrypost.state.claim import GrantRequest
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.document import format_document, parse_head
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRecord,
    ServiceRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable

HOUR_MS: Final = 3_600_000
ANSWER: Final = b"x" * 2_000


def measure(quick: bool) -> None:
    """Print bytes by number of objects."""
    sizes = [200, 400, 800] if quick else [2_400, 4_800, 9_600]
    method = "tracemalloc, sizes are numbers of objects"
    print(f"# state held: {method}")
    for name, make in MAKERS:
        values = [_bytes(make, size) for size in sizes]
        report(f"held.{name}", "bytes", sizes, values)


def _bytes(make: Callable[[int], Callable[[], Any]], size: int) -> float:
    """Bytes that stay allocated, without what prepares the objects."""
    run = make(size)
    gc.collect()
    tracemalloc.start()
    kept = run()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def _configuration(size: int) -> Callable[[], Any]:
    text = format_document(document(size)).unwrap()

    def run() -> Configuration:
        section = Configuration()
        section.apply_document(parse_head(text).unwrap())
        return section

    return run


def _agents(size: int) -> Callable[[], Any]:
    records = [
        EngineRecord(
            f"engine-{n}",
            service="service-1",
            agent_address=f"10.0.{n // 250}.{n % 250}:7400",
            zone="zone-1",
        )
        for n in range(size)
    ]
    return lambda: {r.name: _initial_view(r) for r in records}


def _claims(
    answer: bytes | None, limit: int = 1 << 40
) -> Callable[[int], Callable[[], Any]]:
    def make(size: int) -> Callable[[], Any]:
        def run() -> ShardClaims:
            claims = ShardClaims(0, 1, answers_bytes=limit)
            for n in range(size):
                ask = GrantRequest(f"key-{n:08d}", bytes(32), True, HOUR_MS)
                granted = claims.claim(ask, "entry-1", n)
                if answer is not None:
                    stored = StoredAnswer(200, bytes(bytearray(answer)), "")
                    claims.complete(ask.key, granted.attempt, stored, n)
            return claims

        return run

    return make


def _live(size: int) -> Callable[[], Any]:
    return lambda: {
        f"key-{n:08d}": LiveRequest(
            n, f"key-{n:08d}", account=f"account-{n}", deadline_ms=n
        )
        for n in range(size)
    }


def _accounts(size: int) -> Callable[[], Any]:
    records = [AccountRecord(f"account-{n}") for n in range(size)]

    def run() -> Limiter:
        limiter = Limiter(ServiceRecord("service-1"))
        for record in records:
            limiter.acquire(record, 0)
        return limiter

    return run


MAKERS: Final = (
    ("configuration_record", _configuration),
    ("known_agent", _agents),
    ("claim_running", _claims(None)),
    ("claim_ended", _claims(ANSWER, 0)),
    ("claim_with_2kB_answer", _claims(ANSWER)),
    ("live_request_section", _live),
    ("active_account", _accounts),
)
