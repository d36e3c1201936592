"""Rate limits that backend servers name in their answers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from tests.gateway_kit import serving
from tests.ratelimits import allowed, most_in_window

ENGINES = (
    ("d0", "llm", "decode"),
    ("d1", "llm", "decode"),
    ("p0", "llm", "prefill"),
)
DESKS = tuple((f"desk-{n}", "desk", "") for n in range(3))
GATEWAYS = 4


class Fleet:
    """Several gateways that share the traffic for the same servers."""

    def __init__(self, kit, gateways):
        self.kit = kit
        self.gateways = gateways
        self.responses: list = []

    async def send(self, rate_per_s: float, for_s: float, paths):
        """Send requests at a constant rate, to one gateway after another."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(round(rate_per_s * for_s)):
                await asyncio.sleep(
                    begun_s + number / rate_per_s - loop.time()
                )
                self.kit.daemon = self.gateways[number % len(self.gateways)]
                path = paths[number % len(paths)]
                group.create_task(self._call(path))

    async def _call(self, path: str):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        send = self.kit.generate if "text" in path else self.kit.call
        response = await send(path)
        self.responses.append((response, loop.time() - begun_s))

    def statuses(self) -> list[int]:
        return [response.status for response, _ in self.responses]


@asynccontextmanager
async def fleet(*engines, gateways: int = GATEWAYS):
    async with AsyncExitStack() as stack:
        kit = await stack.enter_async_context(serving(*engines))
        daemons = [kit.daemon]
        for number in range(2, gateways + 1):
            daemon = await kit.gateway(f"gateway-{number}")
            stack.push_async_callback(daemon.stop)
            daemons.append(daemon)
        await kit.until(
            lambda: all(
                daemon.lifecycle.state == "serving"
                and len(daemon.context.directory.gateways) == gateways
                for daemon in daemons
            )
        )
        try:
            yield Fleet(kit, daemons)
        finally:
            kit.daemon = daemons[0]


def test_a_limit_is_counted_when_it_changes():
    """Guards against limits of servers that neither logs nor metrics show."""

    async def work():
        async with serving(DESKS[0]) as kit:
            desk = kit.engines["desk-0"]
            for limit in (None, "50", "50", "2e1", None):
                desk.limit_per_s = limit
                assert (await kit.call("/safe/x")).status == 200
            metrics = kit.daemon.context.metrics
            assert metrics.value("server_limit_changes_total") == 3

    asyncio.run(work())


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf"])
def test_a_limit_that_is_no_number_changes_nothing(text):
    """Guards against a malformed header that fails a request or a limit."""

    async def work():
        async with serving(DESKS[0]) as kit:
            desk = kit.engines["desk-0"]
            limits = kit.daemon.context.loads.limits
            for limit, known in (("50", 50.0), (text, 50.0), (None, None)):
                desk.limit_per_s = limit
                assert (await kit.call("/safe/x")).status == 200
                assert limits.per_s("desk-0@1") == known

    asyncio.run(work())


def test_gateways_together_keep_the_limit_of_a_server():
    """Guards against a fast server that gets what it can no longer take.

    It asked for 2 requests/s in its answers and got 40, as the gateways choose
    servers by their speed.
    """

    async def work():
        async with fleet(*DESKS) as gateways:
            limited = gateways.kit.engines["desk-0"]
            limited.limit_per_s = "2.0"
            begun_s = asyncio.get_running_loop().time()
            await gateways.send(40, 7.5, ["/safe/x", "/once/x"])
            most = most_in_window(limited.arrivals_s, begun_s)
            assert most <= allowed(2.0)
            # The others have room for the rest.
            assert set(gateways.statuses()) == {200}

    asyncio.run(work())


def test_requests_beyond_all_limits_are_refused_at_once():
    """Guards against requests that wait for servers that have no room.

    A refusal says when to come back, and nothing that was refused has run.
    """

    async def work():
        async with fleet(DESKS[0], DESKS[1]) as gateways:
            engines = gateways.kit.engines.values()
            for engine in engines:
                engine.limit_per_s = "2.5"
            begun_s = asyncio.get_running_loop().time()
            await gateways.send(40, 7.5, ["/safe/x", "/once/x"])
            for engine in engines:
                most = most_in_window(engine.arrivals_s, begun_s)
                assert most <= allowed(2.5)
            statuses = gateways.statuses()
            assert set(statuses) == {200, 503}
            assert statuses.count(200) >= 0.8 * 5.0 * 7.5
            executed = sum(len(engine.executed) for engine in engines)
            assert executed == statuses.count(200)
            for response, took_s in gateways.responses:
                if response.status == 503:
                    assert response.headers["X-Failure"] == "server_limited"
                    assert float(response.headers["Retry-After"]) > 0
                    assert took_s < 0.5

    asyncio.run(work())


@pytest.mark.parametrize("limited", ["p0", "d0"])
def test_generations_keep_the_limit_of_an_engine(limited):
    """Guards against prefills and streams that ignore an engine's limit."""
    engines = [("p0", "llm", "prefill")]
    engines += [(f"d{n}", "llm", "decode") for n in range(3)]

    async def work():
        async with fleet(*engines) as gateways:
            engine = gateways.kit.engines[limited]
            engine.limit_per_s = "1.0"
            begun_s = asyncio.get_running_loop().time()
            await gateways.send(15, 7.5, ["/text/x", "/again/text"])
            most = most_in_window(engine.arrivals_s, begun_s)
            assert most <= allowed(1.0)
            assert set(gateways.statuses()) == {200}
            assert engine.arrivals_s

    asyncio.run(work())


def test_generations_beyond_all_limits_are_refused_at_once():
    """Guards against a queue of generations for engines at their limits."""
    engines = [("p0", "llm", "prefill")]
    engines += [(f"d{n}", "llm", "decode") for n in range(2)]

    async def work():
        async with fleet(*engines) as gateways:
            decode = [gateways.kit.engines[name] for name in ("d0", "d1")]
            for engine in decode:
                engine.limit_per_s = "1.0"
            begun_s = asyncio.get_running_loop().time()
            await gateways.send(15, 7.5, ["/text/x"])
            for engine in decode:
                most = most_in_window(engine.arrivals_s, begun_s)
                assert most <= allowed(1.0)
            statuses = gateways.statuses()
            assert set(statuses) == {200, 503}
            assert statuses.count(200) >= 0.6 * 2.0 * 7.5
            refused = [
                (response, took_s)
                for response, took_s in gateways.responses
                if response.status == 503
            ]
            for response, _ in refused:
                assert float(response.headers["Retry-After"]) > 0
            # A few had a turn in prospect that others came to need first.
            waited = [took_s for _, took_s in refused if took_s > 0.2]
            assert len(waited) <= 0.1 * len(refused)

    asyncio.run(work())


def test_a_request_waits_for_its_turn_within_its_objective():
    """Guards against refusals where a short wait serves the client in time."""

    async def work():
        async with serving(DESKS[0]) as kit:
            kit.engines["desk-0"].limit_per_s = "5"
            loop = asyncio.get_running_loop()
            assert (await kit.call("/once/x")).status == 200
            begun_s = loop.time()
            for _ in range(3):
                assert (await kit.call("/once/x")).status == 200
            assert loop.time() - begun_s >= 0.5

    asyncio.run(work())


def test_a_lifted_limit_binds_no_longer():
    """Guards against a server that stays slow after it has recovered."""

    async def work():
        async with fleet(DESKS[0], gateways=2) as gateways:
            desk = gateways.kit.engines["desk-0"]
            desk.limit_per_s = "4"
            await gateways.send(20, 1.0, ["/once/x"])
            desk.limit_per_s = None
            await asyncio.sleep(0.5)
            await gateways.send(4, 0.5, ["/once/x"])
            del gateways.responses[:]
            await gateways.send(40, 1.0, ["/once/x"])
            assert set(gateways.statuses()) == {200}

    asyncio.run(work())


def test_generations_are_served_while_reservations_are_slow():
    """Guards against refusals for lack of memory where engines are empty.

    The queue's estimate takes generations whose reservation is under way for
    waiting ones, and assumes that memory becomes free only as others end.
    """
    engines = [("p0", "llm", "prefill")]
    engines += [(f"d{n}", "llm", "decode") for n in range(3)]

    async def work():
        async with fleet(*engines) as gateways:
            for engine in gateways.kit.engines.values():
                engine.control_delay_s = 0.24
            await gateways.send(15, 3.0, ["/text/x", "/again/text"])
            assert set(gateways.statuses()) == {200}

    asyncio.run(work())


MAX_TRIES = 40
"""Requests until one of several servers has been chosen."""


@pytest.mark.parametrize("route", ["/safe/x", "/again/x"])
def test_a_server_that_asks_for_a_pause_gets_none(route):
    """Guards against requests that come before a server can take them.

    It refused one with a time to come back. Others have room.
    """

    async def work():
        async with serving(*DESKS, *ENGINES) as kit:
            for _ in range(MAX_TRIES):
                assert (await kit.generate(route)).status == 200
            # The one that is preferred would get more at once.
            names = {"/safe/x": DESKS, "/again/x": ENGINES[:2]}[route]
            paused = max(
                (kit.engines[name] for name, _, _ in names),
                key=lambda engine: len(engine.received),
            )
            begun = len(paused.received)
            paused.mode, paused.retry_after = "refuse", "30"
            for _ in range(MAX_TRIES):
                if len(paused.received) > begun:
                    break
                assert (await kit.generate(route)).status == 200
            assert len(paused.received) == begun + 1
            for _ in range(MAX_TRIES):
                assert (await kit.generate(route)).status == 200
                await asyncio.sleep(0.03)
            assert len(paused.received) == begun + 1

    asyncio.run(work())


@pytest.mark.parametrize("route", ["/safe/x", "/again/x"])
def test_requests_to_servers_that_all_pause_are_refused_at_once(route):
    """Guards against a wait until the deadline, and against its end too early.

    The refusal says when to come back; then the requests are served again.
    """

    async def work():
        async with serving(DESKS[0], ENGINES[0], ENGINES[2]) as kit:
            loop = asyncio.get_running_loop()
            server = kit.engines[{"/safe/x": DESKS[0][0]}.get(route, "d0")]
            server.mode, server.retry_after = "refuse", "1.6"
            assert (await kit.generate(route)).status == 503
            paused_s = loop.time()
            server.mode = "answer"
            before = len(server.received)
            response = await kit.generate(route)
            assert response.status == 503
            assert 0 < float(response.headers["Retry-After"]) < 2
            assert loop.time() - paused_s < 0.5
            assert len(server.received) == before
            await asyncio.sleep(paused_s + 1.7 - loop.time())
            assert (await kit.generate(route)).status == 200

    asyncio.run(work())


@pytest.mark.parametrize("text", ["soon", "-1", "inf", "nan"])
def test_a_pause_that_is_no_number_changes_nothing(text):
    """Guards against a server that one malformed answer takes out of use."""

    async def work():
        async with serving(DESKS[0]) as kit:
            desk = kit.engines["desk-0"]
            desk.mode, desk.retry_after = "refuse", text
            assert (await kit.call("/safe/x")).status == 503
            desk.mode = "answer"
            await asyncio.sleep(0.3)
            assert (await kit.call("/safe/x")).status == 200

    asyncio.run(work())
