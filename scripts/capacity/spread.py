"""Cost of spreading the configuration, with in-process controllers."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any, Final

from scripts.capacity.fit import report
from scripts.capacity.records import ZONES, document

from gooseberrypost.configsync.controller import (
    MEMBER_TIMEOUT_PULLS,
    PULL_INTERVAL_MS,
)
from gooseberrypost.configsync.members import (
    PEER_SUBSET_SIZE,
    ZoneMembers,
    choose_peers,
    rendezvous_lowest,
)
from gooseberrypost.configsync.messages import delta_message
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.document import format_document, parse_head
from gooseberrypost.state.records import AccountRecord
from gooseberrypost.wire.codec import LENGTH_BYTES, Frame, decode, encode
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_MS: Final = MEMBER_TIMEOUT_PULLS * PULL_INTERVAL_MS
HELLO: Final = idl.Hello(
    process_kind="entry", name="e", incarnation=1, zone="a", address=""
)


def measure(quick: bool) -> None:
    """Print sizes of values and messages, CPU of each step, watchers."""
    sizes = [600, 1_200, 2_400] if quick else [2_400, 4_800, 9_600]
    print("# configuration: sizes are records; CPU time of this process")
    columns = [_costs(size) for size in sizes]
    for name, unit in COLUMNS:
        report(f"config.{name}", unit, sizes, [c[name] for c in columns])
    entries = [40, 80, 160] if quick else [105, 210, 420]
    print(f"# watchers of config/head: sizes are entries in {ZONES} zones")
    report(
        "config.watchers", "entries", entries, [_watchers(n) for n in entries]
    )


COLUMNS: Final = (
    ("head_bytes", "bytes"),
    ("whole_delta_bytes", "bytes"),
    ("one_change_bytes", "bytes"),
    ("read_head_ms", "CPU ms"),
    ("receive_whole_delta_ms", "CPU ms"),
    ("apply_one_change_ms", "CPU ms"),
    ("answer_same_version_ms", "CPU ms"),
    ("answer_one_change_ms", "CPU ms"),
)


def _costs(size: int) -> dict[str, float]:
    first = document(size)
    record = AccountRecord("account-0001", requests_per_s=3.0)
    changes = {"account/account-0001": record}
    second = first.propose(first, changes, "one").unwrap()
    text = format_document(second).unwrap()
    whole = _packed(second.delta_since(0))
    change = second.delta_since(first.version)
    section = Configuration()
    section.apply_document(second)
    since = second.version

    def applied() -> None:
        target = Configuration()
        target.document = first
        target.apply_delta(change)

    return {
        "head_bytes": len(text),
        "whole_delta_bytes": len(whole),
        "one_change_bytes": len(_packed(change)),
        "read_head_ms": _cpu_ms(lambda: parse_head(text), 3),
        "receive_whole_delta_ms": _cpu_ms(
            lambda: decode(whole[LENGTH_BYTES:]), 3
        ),
        "apply_one_change_ms": _cpu_ms(applied, 20),
        "answer_same_version_ms": _cpu_ms(
            lambda: _packed(section.delta_since(since)), 50
        ),
        "answer_one_change_ms": _cpu_ms(
            lambda: _packed(section.delta_since(since - 1)), 50
        ),
    }


def _packed(delta: Any) -> bytes:
    return encode(Frame(1, delta_message(delta, HELLO)))


def _cpu_ms(run: Callable[[], Any], times: int) -> float:
    began = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - began) * 1_000 / times


def _watchers(count: int) -> int:
    """Entries that take themselves for a watcher after two windows.

    Every entry asks all others at its start, and later pulls as the
    configuration controller does.
    """
    rng = random.Random(7)
    names = [f"10.{n % ZONES}.0.{n}:7400" for n in range(count)]
    zones = {name: f"zone-{n % ZONES}" for n, name in enumerate(names)}
    members = {
        name: ZoneMembers(name, zones[name], WINDOW_MS) for name in names
    }
    near = {}
    for name in names:
        others = [n for n in names if n != name]
        near[name] = rendezvous_lowest(others, name, PEER_SUBSET_SIZE)
        for peer in others:
            members[name].observe("entry", peer, zones[peer], 0, peer)
    for now_ms in range(0, 2 * WINDOW_MS + 1, PULL_INTERVAL_MS):
        for name in names:
            likely = members[name].watcher_candidates(now_ms)
            for peer in choose_peers(rng, near[name], likely):
                members[name].observe("entry", peer, zones[peer], now_ms, peer)
                members[peer].observe("entry", name, zones[name], now_ms)
    return sum(m.is_watcher(2 * WINDOW_MS) for m in members.values())
