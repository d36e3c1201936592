"""Malformed requests of clients at a gateway and at an entry."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import re
from contextlib import asynccontextmanager, suppress

import pytest
from absl import logging as absl_logging

from tests import entry_fakes, gateway_kit

EXAMPLES = int(os.environ.get("GOOSEBERRYPOST_FUZZ_EXAMPLES", "200"))
SEED = int(os.environ.get("GOOSEBERRYPOST_FUZZ_SEED", "1"))
CONCURRENT = 20
ANSWER = re.compile(rb"HTTP/1\.[01] (?!500)\d{3} ")
ANSWER_S = 1.0
"""Time after which a request that is incomplete is given up."""
PREFIX = "X-Gooseberrypost-"
GATEWAY_HEADERS = {
    f"{PREFIX}Attempt-Id": "a1",
    f"{PREFIX}Deadline-Ms": "300",
    f"{PREFIX}Token-Usage": "100,10",
    f"{PREFIX}Prompt-Prefix": "ab:60,cd:40",
    f"{PREFIX}Length-Hint": "5",
    f"{PREFIX}Request-Priority": "1",
    "Last-Event-Id": "a1/3",
    "Resumes": "a0",
}
ENTRY_HEADERS = {
    "Idempotency-Key": "k1",
    f"{PREFIX}Deadline-Ms": "300",
    f"{PREFIX}Account": "kiosk",
    "Last-Event-Id": "a1/3",
    "Accept": "text/event-stream",
}
FRAMING_HEADERS = {
    "Content-Length": "4",
    "Transfer-Encoding": "chunked",
    "Expect": "100-continue",
    "Content-Encoding": "gzip",
    "Connection": "close, X-Other",
    "Host": gateway_kit.HOST,
}
ODD = (
    b"",
    b"0",
    b"-1",
    b"+4",
    b"1e999",
    b"nan",
    b"inf",
    b"0x10",
    b"1_0",
    b"9" * 400,
    b"9" * 5_000,
    b"1,2,3",
    b"0,0",
    b"-5,3",
    b"9" * 400 + b",1",
    b"1," + b"9" * 400,
    b"ab:" + b"9" * 400,
    b"ab:-9,cd:1",
    b":5",
    b"ab",
    b"ab:1," * 900,
    b",,,",
    b"\xff\xfe",
    "é٣".encode(),
    b"a\x00b",
    b"a\x7fb",
    b"x" * 9_000,
    b"/",
    b"a1/-1",
    b"a1/" + b"9" * 400,
    b"gzip, chunked",
    b"identity",
    b"gbp1-x",
    b"gbp1-0-1-0000000000000001",
)
BODIES = (
    b"",
    b"body",
    b'{"model": "m", "prompt": "p"}',
    b'{"model": "m", "prompt": "p", "stream": true}',
    b"4\r\nbody\r\n0\r\n\r\n",
    b"zz\r\nbody\r\n",
    b"fffffffffffffffff\r\nbody",
    b"4;x=" + b"y" * 300 + b"\r\nbody\r\n0\r\nA: b\r\n\r\n",
)
GATEWAY_PATHS = (b"/safe/x", b"/once/x", b"/text/x", b"/again/x")
ENTRY_PATHS = (
    b"/v1/completions",
    b"/v1/chat/completions",
    b"/v1/idempotency-keys",
    b"/services/desk/log",
    b"/services/desk/log",
    b"/services/desk/%ff%00?a=%zz",
    b"/services/%2e%2e/x",
)


def odd_request(
    rng: random.Random, paths: tuple[bytes, ...], named: dict[str, str]
) -> bytes:
    """Return a request with some odd, doubled or absent headers."""
    body = rng.choice(BODIES)
    usual = {"Host": gateway_kit.HOST, "Connection": "close"}
    usual["Content-Length"] = str(len(body))
    lines = [(name, value.encode()) for name, value in usual.items()]
    lines += [
        (name, value.encode())
        for name, value in named.items()
        if rng.random() < 0.9
    ]
    every = [*FRAMING_HEADERS] if rng.random() < 0.2 else [*named]
    for _ in range(rng.randint(1, 2)):
        name = rng.choice(every)
        if rng.random() < 0.9:
            lines = [line for line in lines if line[0] != name]
        value = FRAMING_HEADERS.get(name, "").encode()
        if not value or rng.random() < 0.7:
            value = odd(rng)
        lines.append((name, value))
    rng.shuffle(lines)
    method = rng.choice((b"POST",) * 20 + (b"GET", b"X\xff"))
    head = method + b" " + rng.choice(paths) + b" HTTP/1.1\r\n"
    for name, value in lines:
        head += name.encode() + b": " + value + b"\r\n"
    return head + b"\r\n" + body


def odd(rng: random.Random) -> bytes:
    value = rng.choice(ODD)
    if rng.random() < 0.1:
        value += rng.randbytes(rng.randint(1, 6))
    return value.replace(b"\r", b"").replace(b"\n", b"")


async def send(address: str, request: bytes) -> bytes:
    """Send a request and return the answer, as far as it came in time."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answer = b""
    try:
        writer.write(request)
        async with asyncio.timeout(ANSWER_S):
            while piece := await reader.read(65_536):
                answer += piece
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()
    return answer


@asynccontextmanager
async def gateway():
    engines = (("a", "desk", ""), ("b", "desk", ""))
    engines += (("p", "llm", "prefill"), ("d", "llm", "decode"))
    async with gateway_kit.serving(*engines) as kit:

        async def check():
            assert (await kit.call("/safe/x")).status == 200
            assert (await kit.generate()).status == 200

        yield kit.daemon.frontend.address, check


@asynccontextmanager
async def entry():
    async with entry_fakes.running(read_timeout_ms=500) as rig:

        async def check():
            async with rig.complete(key="sound") as response:
                assert response.status == 200

        yield rig.daemon.http.address, check


class Errors(logging.Handler):
    """Keeps the errors that a process logs."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record):
        detail = f" {record.exc_info[1]!r}" if record.exc_info else ""
        self.found.append(record.getMessage()[:200] + detail[:200])


PROCESSES = {
    "gateway": (gateway, GATEWAY_PATHS, GATEWAY_HEADERS),
    "entry": (entry, ENTRY_PATHS, ENTRY_HEADERS),
}


@pytest.mark.parametrize("process", sorted(PROCESSES))
def test_odd_requests_cost_only_their_sender(process):
    """Guards against a header that meets an unexpected error.

    Each request gets an answer, or its connection is closed; a sound request
    is served after them.
    """
    running, paths, named = PROCESSES[process]

    async def work():
        rng = random.Random(f"{SEED} {process}")
        errors, logger = Errors(), absl_logging.get_absl_logger()
        logger.addHandler(errors)
        bad = []
        try:
            async with running() as (address, check):
                for _ in range(0, EXAMPLES, CONCURRENT):
                    requests = [
                        odd_request(rng, paths, named)
                        for _ in range(CONCURRENT)
                    ]
                    answers = await asyncio.gather(
                        *(send(address, request) for request in requests)
                    )
                    for request, answer in zip(requests, answers, strict=True):
                        if answer and not ANSWER.match(answer):
                            bad.append((request, answer[:800]))
                    if errors.found or bad:
                        break
                await check()
        finally:
            logger.removeHandler(errors)
        assert not errors.found, requests
        assert not bad

    asyncio.run(work())


ODD_HEADERS = {
    "attempt-id-not-utf-8": (
        b"/again/x",
        {f"{PREFIX}Attempt-Id": b"a\xbd"},
    ),
    "resumes-not-utf-8": (
        b"/again/x",
        {"Resumes": b"a\xbd", "Last-Event-Id": b"a1/3"},
    ),
    "tokens-of-400-digits": (
        b"/text/x",
        {f"{PREFIX}Token-Usage": b"9" * 400 + b",1"},
    ),
}


@pytest.mark.parametrize("case", sorted(ODD_HEADERS))
def test_odd_header_of_a_generation_is_refused_as_malformed(case):
    """Guards against an unexpected error for what a client wrote."""
    path, changes = ODD_HEADERS[case]
    headers = {"Host": gateway_kit.HOST.encode(), "Connection": b"close"}
    headers |= {
        f"{PREFIX}Attempt-Id": b"a1",
        f"{PREFIX}Deadline-Ms": b"900",
        f"{PREFIX}Token-Usage": b"100,10",
        "Content-Length": b"0",
    }
    request = b"POST " + path + b" HTTP/1.1\r\n"
    for name, value in (headers | changes).items():
        request += name.encode() + b": " + value + b"\r\n"

    async def work():
        async with gateway() as (address, check):
            answer = await send(address, request + b"\r\n")
            await check()
        assert answer.startswith(b"HTTP/1.1 400 "), answer[:200]

    asyncio.run(work())
