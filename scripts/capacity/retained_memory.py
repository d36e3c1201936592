"""Memory retained per object of each kind, measured with ``tracemalloc``."""

from __future__ import annotations

import gc
import tracemalloc
from typing import TYPE_CHECKING, Any, Final

from scripts.capacity.fit import print_fit
from scripts.capacity.records import make_document

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

DEADLINE_MS: Final = 3_600_000
ANSWER_BODY: Final = b"x" * 2_000


def measure(quick: bool) -> None:
    """Print the bytes retained by each kind of object, by their number."""
    sizes = [200, 400, 800] if quick else [2_400, 4_800, 9_600]
    method = "tracemalloc, sizes are numbers of objects"
    print(f"# state held: {method}")
    for name, prepare in OBJECT_KINDS:
        values = [_retained_bytes(prepare, size) for size in sizes]
        print_fit(f"held.{name}", "bytes", sizes, values)


def _retained_bytes(
    prepare: Callable[[int], Callable[[], Any]], size: int
) -> float:
    """Return the bytes that ``size`` objects retain.

    The input that ``prepare`` builds for them is not counted.
    """
    build = prepare(size)
    gc.collect()
    tracemalloc.start()
    objects = build()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return used_bytes


def _configuration(size: int) -> Callable[[], Any]:
    text = format_document(make_document(size)).unwrap()

    def build() -> Configuration:
        configuration = Configuration()
        configuration.apply_document(parse_head(text).unwrap())
        return configuration

    return build


def _known_agents(size: int) -> Callable[[], Any]:
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
    answer: bytes | None, answer_limit_bytes: int = 1 << 40
) -> Callable[[int], Callable[[], Any]]:
    def prepare(size: int) -> Callable[[], Any]:
        def build() -> ShardClaims:
            claims = ShardClaims(0, 1, answers_bytes=answer_limit_bytes)
            for n in range(size):
                request = GrantRequest(
                    f"key-{n:08d}", bytes(32), True, DEADLINE_MS
                )
                granted = claims.claim(request, "entry-1", n)
                if answer is not None:
                    # A copy for each claim, so that its bytes are counted.
                    stored = StoredAnswer(200, bytes(bytearray(answer)), "")
                    claims.complete(request.key, granted.attempt, stored, n)
            return claims

        return build

    return prepare


def _live_requests(size: int) -> Callable[[], Any]:
    return lambda: {
        f"key-{n:08d}": LiveRequest(
            n, f"key-{n:08d}", account=f"account-{n}", deadline_ms=n
        )
        for n in range(size)
    }


def _active_accounts(size: int) -> Callable[[], Any]:
    records = [AccountRecord(f"account-{n}") for n in range(size)]

    def build() -> Limiter:
        limiter = Limiter(ServiceRecord("service-1"))
        for record in records:
            limiter.acquire(record, 0)
        return limiter

    return build


OBJECT_KINDS: Final = (
    # Name, and a function that takes the number of objects, prepares their
    # input and returns the function that builds them.
    ("configuration_record", _configuration),
    ("known_agent", _known_agents),
    ("claim_running", _claims(None)),
    ("claim_ended", _claims(ANSWER_BODY, 0)),
    ("claim_with_2kB_answer", _claims(ANSWER_BODY)),
    ("live_request_section", _live_requests),
    ("active_account", _active_accounts),
)
