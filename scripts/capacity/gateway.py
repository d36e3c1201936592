"""Cost of load notices, routing decisions and registrations in a gateway."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING, Final

from scripts.capacity.fit import print_fit

from gooseberrypost.gateway.model import Server, Stage
from gooseberrypost.platform.documents import decode_server
from gooseberrypost.policy.enginememory import Run, RunSize
from gooseberrypost.policy.serverchoice import (
    choose_prefill,
    rank_decode_engines,
)
from gooseberrypost.policy.serverload import PeerLoad, ServerLoads
from gooseberrypost.wire.codec import LENGTH_BYTES, Frame, decode, encode
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

ITERATIONS: Final = 20
RUNS_PER_ENGINE: Final = 7
"""Runs that a peer reports for each engine."""
DECODING_RUN: Final = RunSize(5_000, 1_000, 4_000, 8_000)
NEW_RUN: Final = RunSize(5_000, 0, 4_000, 8_000)


def measure(quick: bool) -> None:
    """Print the size of load notices and the CPU time of each operation."""
    print("# gateway: CPU time by time.process_time")
    runs = [1, 4, 16] if quick else [1, 8, 64]
    print_fit(
        "gateway.notice_bytes",
        "bytes by runs",
        runs,
        [len(_encode_notice(size)) for size in runs],
    )
    print_fit(
        "gateway.notice_encode",
        "us by runs",
        runs,
        [_cpu_us(lambda size=size: _encode_notice(size)) for size in runs],
    )
    print_fit(
        "gateway.notice_decode",
        "us by runs",
        runs,
        [_cpu_us(_notice_decoder(size)) for size in runs],
    )
    engines = [5, 20, 80] if quick else [20, 200, 1_400]
    print_fit(
        "gateway.choose_decode",
        "us by engines",
        engines,
        [_cpu_us(_decode_engine_choice(size)) for size in engines],
    )
    print_fit(
        "gateway.choose_prefill",
        "us by engines",
        engines,
        [_cpu_us(_prefill_engine_choice(size)) for size in engines],
    )
    print_fit(
        "gateway.decode_registration",
        "us by registrations",
        engines,
        [_cpu_us(_registration_decoder(size)) for size in engines],
    )


def _cpu_us(function: Callable[[], object]) -> float:
    """Return the mean CPU time of a call in µs, after one warm-up call."""
    function()
    start_s = time.process_time()
    for _ in range(ITERATIONS):
        function()
    return 1e6 * (time.process_time() - start_s) / ITERATIONS


def _encode_notice(runs: int) -> bytes:
    servers = [
        idl.ServerLoadNotice(
            identity=f"i-{number:010x}@1700000000000",
            outstanding=1,
            prefill_tokens=5_000,
            run_tokens=[5_000],
            run_produced=[1_000],
            run_expected=[4_000],
            run_limit=[8_000],
        )
        for number in range(runs)
    ]
    notice = idl.LoadNotice(
        name="edge-sk-west-a-1",
        incarnation=1,
        sequence=1,
        servers=servers,
        configuration_version=7,
        waiting=0,
        outputs=[idl.OutputNotice(service_name="s", tokens=4_000.0)],
    )
    return encode(Frame(0, notice))


def _notice_decoder(runs: int) -> Callable[[], object]:
    payload = _encode_notice(runs)[LENGTH_BYTES:]
    return lambda: decode(payload).unwrap()


def _servers_and_loads(size: int) -> tuple[list[Server], ServerLoads]:
    loads = ServerLoads()
    servers = [
        Server(
            f"i-{number}",
            "s",
            "10.0.0.1:80",
            "a",
            32,
            stage=Stage.PREFILL if number % 3 == 0 else Stage.DECODE,
        )
        for number in range(size)
    ]
    for server in servers:
        load = loads.of(server.identity)
        load.runs.add(Run(5_000, 4_000))
    peer = {
        server.identity: PeerLoad(1, 0, [DECODING_RUN] * RUNS_PER_ENGINE)
        for server in servers
    }
    loads.update_peer("peer", 0.0, peer)
    return servers, loads


def _decode_engine_choice(size: int) -> Callable[[], object]:
    servers, loads = _servers_and_loads(size)
    rng = random.Random(1)
    return lambda: rank_decode_engines(
        servers, loads, NEW_RUN, 100_000, "a", 0.0, rng
    )


def _prefill_engine_choice(size: int) -> Callable[[], object]:
    servers, loads = _servers_and_loads(size)
    rng = random.Random(1)
    return lambda: choose_prefill(servers, loads, 5_000, 0.0, rng)


def _registration_decoder(size: int) -> Callable[[], object]:
    registration = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 32,
        "state": "ready",
        "stage": "decode",
        "born": 1_700_000_000_000,
    }
    content = json.dumps(registration).encode()
    return lambda: [decode_server("i", content, 1) for _ in range(size)]
