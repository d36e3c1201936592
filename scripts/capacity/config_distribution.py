"""Cost of distributing the configuration, measured in this process."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any, Final

from scripts.capacity.fit import print_fit
from scripts.capacity.records import ZONE_COUNT, make_document

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

MEMBER_TIMEOUT_MS: Final = MEMBER_TIMEOUT_PULLS * PULL_INTERVAL_MS
"""Time without a message after which an entry is taken for dead."""
HELLO: Final = idl.Hello(
    process_kind="entry", name="e", incarnation=1, zone="a", address=""
)


def measure(quick: bool) -> None:
    """Print message sizes, CPU time of each step and number of watchers."""
    sizes = [600, 1_200, 2_400] if quick else [2_400, 4_800, 9_600]
    print("# configuration: sizes are records; CPU time of this process")
    costs = [_measure_costs(size) for size in sizes]
    for name, unit in METRICS:
        print_fit(
            f"config.{name}", unit, sizes, [cost[name] for cost in costs]
        )
    entry_counts = [40, 80, 160] if quick else [105, 210, 420]
    print(
        f"# watchers of config/head: sizes are entries in {ZONE_COUNT} zones"
    )
    print_fit(
        "config.watchers",
        "entries",
        entry_counts,
        [_count_watchers(n) for n in entry_counts],
    )


METRICS: Final = (
    ("head_bytes", "bytes"),
    ("whole_delta_bytes", "bytes"),
    ("one_change_bytes", "bytes"),
    ("read_head_ms", "CPU ms"),
    ("receive_whole_delta_ms", "CPU ms"),
    ("apply_one_change_ms", "CPU ms"),
    ("answer_same_version_ms", "CPU ms"),
    ("answer_one_change_ms", "CPU ms"),
)


def _measure_costs(size: int) -> dict[str, float]:
    base = make_document(size)
    record = AccountRecord("account-0001", requests_per_s=3.0)
    changes = {"account/account-0001": record}
    changed = base.propose(base, changes, "one").unwrap()
    text = format_document(changed).unwrap()
    full_delta = _encode_delta(changed.delta_since(0))
    change = changed.delta_since(base.version)
    configuration = Configuration()
    configuration.apply_document(changed)
    version = changed.version

    def apply_change() -> None:
        target = Configuration()
        target.document = base
        target.apply_delta(change)

    return {
        "head_bytes": len(text),
        "whole_delta_bytes": len(full_delta),
        "one_change_bytes": len(_encode_delta(change)),
        "read_head_ms": _cpu_ms(lambda: parse_head(text), 3),
        "receive_whole_delta_ms": _cpu_ms(
            lambda: decode(full_delta[LENGTH_BYTES:]), 3
        ),
        "apply_one_change_ms": _cpu_ms(apply_change, 20),
        "answer_same_version_ms": _cpu_ms(
            lambda: _encode_delta(configuration.delta_since(version)), 50
        ),
        "answer_one_change_ms": _cpu_ms(
            lambda: _encode_delta(configuration.delta_since(version - 1)), 50
        ),
    }


def _encode_delta(delta: Any) -> bytes:
    return encode(Frame(1, delta_message(delta, HELLO)))


def _cpu_ms(function: Callable[[], Any], iterations: int) -> float:
    start_s = time.process_time()
    for _ in range(iterations):
        function()
    return (time.process_time() - start_s) * 1_000 / iterations


def _count_watchers(count: int) -> int:
    """Return how many entries elect themselves after two member timeouts.

    Every entry contacts all others when it starts, and afterwards pulls from
    the peers that the configuration controller would choose.
    """
    rng = random.Random(7)
    names = [f"10.{n % ZONE_COUNT}.0.{n}:7400" for n in range(count)]
    zones = {name: f"zone-{n % ZONE_COUNT}" for n, name in enumerate(names)}
    members = {
        name: ZoneMembers(name, zones[name], MEMBER_TIMEOUT_MS)
        for name in names
    }
    peer_subsets = {}
    for name in names:
        others = [n for n in names if n != name]
        peer_subsets[name] = rendezvous_lowest(others, name, PEER_SUBSET_SIZE)
        for peer in others:
            members[name].observe("entry", peer, zones[peer], 0, peer)
    for now_ms in range(0, 2 * MEMBER_TIMEOUT_MS + 1, PULL_INTERVAL_MS):
        for name in names:
            candidates = members[name].watcher_candidates(now_ms)
            for peer in choose_peers(rng, peer_subsets[name], candidates):
                members[name].observe("entry", peer, zones[peer], now_ms, peer)
                members[peer].observe("entry", name, zones[name], now_ms)
    return sum(
        member.is_watcher(2 * MEMBER_TIMEOUT_MS) for member in members.values()
    )
