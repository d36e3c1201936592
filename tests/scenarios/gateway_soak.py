"""Soak of real gateway processes under random fault injection.

``python -m tests.scenarios.gateway_soak --seed N --seconds S`` injects faults
from outside the processes: signals, relays to the store that cut or stall
connections, faults of the store (503, no answers, watches without events, a
compacted history, expired leases) and the failure modes of the fake backend
servers. Faults overlap. Some requests crash each server that executes them,
servers name rate limits, come back under their id with another version, write
earlier refusals once more and answer after a run as if they had refused it,
another writer leaves odd entries beside those of the servers, clients leave
before their answers, and the store comes back from older copies.
Responses that clients received and requests that servers executed are checked
against the gateway's guarantees.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
import click

from tests.gateway_kit import HOST, ROUTES, configuration
from tests.ratelimits import (
    STABLE_WINDOW_S,
    WINDOW_S,
    allowed,
    most_in_window,
)
from tests.scenarios.processes import (
    Process,
    gateway_process,
    is_gateway_ready,
)
from tests.scenarios.relay import Relay
from tests.standins.platform_engine import FakePlatformEngine
from tests.standins.platform_store import FakePlatformStore
from tests.standins.versioned_engine import (
    VersionedEngine,
    numbers_and_versions,
)

GATEWAYS = 3
CLIENTS = 6
STAGES = ("", "", "", "prefill", "prefill", "decode", "decode", "decode")
VERSIONS = ("v1", "v1", "v1", "v1", "v2", "v1", "v2", "v1")
"""Software version of each server."""
MAX_TAKE_UPS = 3
"""Tries of a client to take up a stream that broke off."""
FAILURE_MODES = (
    "refuse",
    "reset",
    "hang",
    "truncate",
    "foreign",
    "unsigned",
    "error",
    "own_status",
)
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
STREAM_EVENTS = 12
TOKENS_PER_EVENT = 200
STREAM_USAGE = f"3000,{2 * STREAM_EVENTS * TOKENS_PER_EVENT}"
STREAM_LENGTH_HINT = "400"
"""Estimated output tokens of a stream, far below the 2,400 that it has, so
that engines with a capacity of 10,000 tokens run out of memory and the gateway
moves generations."""
POISON_BODY = b"poison"
POISON_PART = "bad:20"
SOUND_PARTS = "first:20,good:20,own:60"
POISON_ROUTES = {"once": "POST", "text": "POST", "safe": "GET"}
"""Method of the crashing requests of each route."""
SAME_ID_SHARE = 0.3
"""Share of the crashed servers that come back under their id."""
ODD_ENTRIES = (
    b"",
    b"[]",
    b"[" * 50_000,
    b'{"state":"ready","service":"desk","slots":Infinity}',
    b'{"state":"ready","service":"desk","address":"127.0.0.1:70000",'
    b'"zone":"a","version":"v1","slots":4,"sequence":1}',
    b'{"state":"ready","service":"desk","address":"127.0.0.1:9",'
    b'"zone":"a","version":"v1","slots":1e999,"sequence":1}',
)
"""Registrations that another writer left."""
CRASHES_BEFORE_LIMIT = 5
MAX_SENDS_AFTER = 3
LIMITED = (0, 5)
"""Numbers of the servers whose rate limit is checked."""
CHECKED_LIMIT_PER_S = 2.0
MAX_ACTIVE_FAULTS = 4
MORE_ROUTES = 400
"""Routes that make a configuration large."""
SNAPSHOT_S = 1.2
"""Time that a snapshot takes for each gateway in the last check."""
INTERPRETER_START_S = 0.2
"""Time in which the Python interpreter starts, before the gateway's code."""
REQUESTS_BEHIND = (0, 1, 2, 5)
"""Requests behind the first one of a client that leaves."""
STAY_S = 0.1
LEFT_S = 1.0
"""Time after which nothing is at work for a client that left, well before the
routes end a request."""
RECOVERY_TIMEOUT_S = 12.0
"""Time in which every gateway and route must serve after the last fault."""


class SentRequest:
    """One request of a client and the response to it."""

    def __init__(self, request: str, route: str):
        self.request, self.route = request, route
        self.status: int | None = None
        self.body = b""
        self.complete = False
        self.take_ups = 0
        """Number of gateways' answers by which the stream went on."""


class Soak:
    """Processes, fakes, clients and faults of one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        gateways: int = GATEWAYS,
        clients: int = CLIENTS,
    ):
        self.gateway_count, self.client_count = gateways, clients
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.sent: list[SentRequest] = []
        self.version = 1
        self.trace: list[str] = []
        self.violations: list[str] = []
        self.restarting: set[Process] = set()
        """Gateways that a fault is restarting now."""
        self.poison_rng = random.Random(f"poison {seed}")
        """Separate, so that the faults of a seed stay the same."""
        self.restore_rng = random.Random(f"restore {seed}")
        self.limit_rng = random.Random(f"limit {seed}")
        self.take_up_rng = random.Random(f"take up {seed}")
        self.method_rng = random.Random(f"method {seed}")
        self.odd_rng = random.Random(f"odd {seed}")
        self.link_rng = random.Random(f"link {seed}")
        self.leave_rng = random.Random(f"leave {seed}")
        self.leavers = 0
        """Number of clients that left before their answer."""
        self.poison_routes: dict[str, str] = {}
        """Route of each crashing request."""
        self.crashes = dict.fromkeys(POISON_ROUTES, 0)

    async def run(self) -> list[str]:
        async with AsyncExitStack() as stack:
            await self._start(stack)
            clients = [
                asyncio.create_task(self._client(number))
                for number in range(self.client_count)
            ]
            clients += [
                asyncio.create_task(self._poison_client(route))
                for route in POISON_ROUTES
            ]
            clients.append(asyncio.create_task(self._limit_servers()))
            clients.append(asyncio.create_task(self._restore_store()))
            clients.append(asyncio.create_task(self._leave_odd_entries()))
            clients.append(asyncio.create_task(self._repeat_refusals()))
            clients.append(asyncio.create_task(self._slow_store_link()))
            clients.append(asyncio.create_task(self._leaving_client()))
            restarts = asyncio.create_task(self._restart_crashed())
            await self._faults()
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await self._recover()
            await self._check_quarantine()
            await self._check_limits()
            await self._check_leavers()
            if restarts.done():
                # Crashed servers were not started again.
                await restarts
            restarts.cancel()
            self._check()
        return self.violations

    async def _start(self, stack: AsyncExitStack):
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = FakePlatformStore()
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        self.store.put(
            "op/config", configuration_with_long_events(self.version)
        )
        self.engines = []
        for number, stage in enumerate(STAGES):
            engine = VersionedEngine(f"i-{number}", stage)
            engine.version = VERSIONS[number]
            await engine.start()
            stack.push_async_callback(engine.stop)
            engine.event_s, engine.events = 0.02, STREAM_EVENTS
            engine.supports_moves = True
            engine.crashes_on = is_poison
            self.engines.append(engine)
            self._register(engine)
        self.relays, self.gateways = [], []
        for number in range(self.gateway_count):
            relay = await stack.enter_async_context(
                Relay.serving(self.store.address)
            )
            process = self._process(number, relay.address)
            stack.callback(process.kill)
            self.relays.append(relay)
            self.gateways.append(process)
            process.write_settings()
            process.start()
        await self._wait_for(self._all_ready, "all gateways ready")

    def _register(self, engine: FakePlatformEngine, **changes):
        service = "llm" if engine.stage else "desk"
        entry = engine.registration(service, **changes)
        self.store.put(f"servers/{engine.instance}", entry)

    def _process(self, number: int, store: str) -> Process:
        bounds = {"grace_s": 4, "budget_slack": 54}
        return gateway_process(number, store, self.folder, bounds)

    async def _client(self, number: int):
        """Send requests over kept-alive connections until cancelled."""
        timeout = aiohttp.ClientTimeout(total=4)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._request(session, f"c{number}-{len(self.sent)}")
                await asyncio.sleep(self.rng.uniform(0, 0.05))

    async def _request(self, session: aiohttp.ClientSession, request: str):
        route = self.rng.choice(list(ROUTES))
        gateway = self.rng.choice(self.gateways)
        sent = SentRequest(request, route)
        self.sent.append(sent)
        headers = {
            "Host": HOST,
            "X-Gooseberrypost-Attempt-Id": request,
            "X-Gooseberrypost-Deadline-Ms": "2000",
        }
        if ROUTES[route]["kind"] == "streaming":
            headers["X-Gooseberrypost-Token-Usage"] = STREAM_USAGE
            headers["X-Gooseberrypost-Length-Hint"] = STREAM_LENGTH_HINT
            headers["X-Gooseberrypost-Prompt-Prefix"] = SOUND_PARTS
        sent.status = await self._try(session, sent, gateway, headers)
        if not ROUTES[route].get("resumable") or sent.status != 200:
            return
        for number in range(MAX_TAKE_UPS):
            sent.body = complete_events(sent.body)
            if sent.complete or not sent.body:
                return
            numbers, _ = numbers_and_versions(sent.body)
            taken_up = {
                "X-Gooseberrypost-Attempt-Id": f"{request}-{number}",
                "Last-Event-Id": str(numbers[-1]),
                "Resumes": request,
            }
            gateway = self.take_up_rng.choice(self.gateways)
            status = await self._try(
                session, sent, gateway, headers | taken_up
            )
            sent.take_ups += status == 200

    async def _try(
        self,
        session: aiohttp.ClientSession,
        sent: SentRequest,
        gateway: Process,
        headers: dict[str, str],
    ) -> int | None:
        """Send a request, or take its stream up; return the status."""
        address = gateway.settings["listen"]["frontend"]
        status = None
        is_lookup = sent.route == "safe" and self.method_rng.random() < 0.5
        try:
            async with session.request(
                "GET" if is_lookup else "POST",
                f"http://{address}/{sent.route}/{sent.request}",
                headers=headers,
                data=b"body",
            ) as response:
                status = response.status
                if status != 200 and sent.body:
                    return status
                async for chunk in response.content.iter_any():
                    sent.body += chunk
                sent.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return status
        return status

    async def _poison_client(self, route: str):
        """Send requests that crash servers, again and again."""
        while True:
            await asyncio.sleep(self.poison_rng.uniform(0.3, 1.0))
            await self._send_poison(route)

    async def _send_poison(self, route: str):
        """Send one request with a crashing body or prompt part."""
        gateway = self.poison_rng.choice(self.gateways)
        address = gateway.settings["listen"]["frontend"]
        request = f"poison-{len(self.poison_routes)}"
        self.poison_routes[request] = route
        headers = {
            "Host": HOST,
            "X-Gooseberrypost-Attempt-Id": request,
            "X-Gooseberrypost-Deadline-Ms": "2000",
        }
        body, target = POISON_BODY, "poison"
        if ROUTES[route]["kind"] == "streaming":
            headers["X-Gooseberrypost-Token-Usage"] = STREAM_USAGE
            headers["X-Gooseberrypost-Prompt-Prefix"] = (
                f"first:20,{POISON_PART},{request}:60"
            )
            body, target = request.encode(), request
        timeout = aiohttp.ClientTimeout(total=4)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    POISON_ROUTES[route],
                    f"http://{address}/{route}/{target}",
                    headers=headers,
                    data=body if POISON_ROUTES[route] == "POST" else None,
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _restart_crashed(self):
        """Restart each crashed server.

        Most are another instance; the others have another version, of which
        their entry tells some time later.
        """
        while True:
            await asyncio.sleep(0.02)
            for engine in self.engines:
                if engine.crashes:
                    engine.crashes = 0
                    self.crashes[self._crashing_route(engine)] += 1
                    self._record_fault("crash", engine.instance)
                    await self._restart(engine)

    def _crashing_route(self, engine: FakePlatformEngine) -> str:
        """Return the route of the request that crashed a server last."""
        return next(
            self.poison_routes[request]
            for request in reversed(engine.executed)
            if request in self.poison_routes
        )

    async def _restart(self, engine: FakePlatformEngine):
        if engine.stage and self.odd_rng.random() < SAME_ID_SHARE:
            await asyncio.sleep(self.poison_rng.uniform(0, 0.5))
            engine.version = "v2" if engine.version == "v1" else "v1"
            engine.born += 1
            await self._listen_again(engine, engine.instance)
            await asyncio.sleep(self.odd_rng.uniform(0, 0.5))
        else:
            self.store.remove(f"servers/{engine.instance}")
            await asyncio.sleep(self.poison_rng.uniform(0, 0.5))
            number = sum(self.crashes.values())
            first = engine.instance.partition(".")[0]
            await self._listen_again(engine, f"{first}.{number}")
        self._register(engine)

    async def _listen_again(self, engine: FakePlatformEngine, instance: str):
        """Start a server, once its port is free.

        A connection of another process may have taken it.
        """
        while True:
            try:
                return await engine.restart(instance)
            except OSError as exc:
                self._record_fault("port taken", engine.address, exc.errno)
                await asyncio.sleep(0.1)

    async def _leave_odd_entries(self):
        """Let another writer leave entries that name no server to use."""
        rng = self.odd_rng
        number = 0
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            number += 1
            entry = rng.choice(ODD_ENTRIES)
            self._record_fault("odd entry", entry[:80])
            self.store.put(f"servers/odd-{number}", entry)

    async def _repeat_refusals(self):
        """Let servers write an earlier refusal once more."""
        rng = self.odd_rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            engine = rng.choice(self.engines)
            engine.old_refusal = rng.choice(("early", "after"))
            self._record_fault("old refusal", engine.instance)
            try:
                await asyncio.sleep(rng.uniform(0.2, 2.0))
            finally:
                engine.old_refusal = None

    async def _slow_store_link(self):
        """Let the configuration take long over the store's link."""
        rng = self.link_rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            size = len(self.store.items["op/config"]["value"])
            self.store.bytes_per_s = size / rng.uniform(0.3, 1.5)
            self._record_fault("store link", round(self.store.bytes_per_s))
            try:
                await asyncio.sleep(rng.uniform(0.5, 4.0))
            finally:
                self.store.bytes_per_s = 0

    async def _check_quarantine(self):
        """Check the limits on crashing requests, without other faults."""
        for route in POISON_ROUTES:
            for _ in range(CRASHES_BEFORE_LIMIT):
                if self.crashes[route] < CRASHES_BEFORE_LIMIT:
                    await self._send_poison(route)
                    await asyncio.sleep(0.5)
        await asyncio.sleep(STABLE_WINDOW_S)
        before = dict(self.crashes)
        for route in POISON_ROUTES:
            for _ in range(4 * MAX_SENDS_AFTER):
                await self._send_poison(route)
                await asyncio.sleep(0.1)
            crashes = self.crashes[route] - before[route]
            if crashes > MAX_SENDS_AFTER:
                self.violations.append(
                    f"{route}: {crashes} crashes more, after {before[route]}"
                )
        await asyncio.sleep(1.0)
        await self._wait_for(self._all_serve, "sound requests served beside")

    async def _restore_store(self):
        """Let the store come back from copies of some seconds before."""
        rng = self.restore_rng
        while True:
            copy = self.store.copy()
            await asyncio.sleep(rng.uniform(1.0, 6.0))
            self._record_fault("store restored")
            self.store.restore(copy)
            try:
                await asyncio.sleep(rng.uniform(0, 1.0))
            finally:
                self._write_again()
            await asyncio.sleep(rng.uniform(0, 3.0))

    def _write_again(self):
        """Write what the operator and the servers had written.

        Entries of servers that have ended are removed for their silence.
        """
        self.store.put(
            "op/config", configuration_with_long_events(self.version)
        )
        alive = {f"servers/{engine.instance}" for engine in self.engines}
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in alive:
                self.store.remove(key)
        for engine in self.engines:
            self._register(engine)

    async def _limit_servers(self):
        """Let one server after the other name a limit for some seconds."""
        rng = self.limit_rng
        while True:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            engine = rng.choice(self.engines)
            engine.limit_per_s = f"{rng.uniform(0.5, 20.0):.1f}"
            try:
                await asyncio.sleep(rng.uniform(0.2, 3.0))
            finally:
                engine.limit_per_s = None

    async def _leaving_client(self):
        """Leave before the answer, again and again."""
        rng = self.leave_rng
        while True:
            await self._leave(
                rng.choice(self.gateways),
                rng.choice(list(ROUTES)),
                rng.choice(REQUESTS_BEHIND),
                rng.uniform(0, 0.3),
            )
            await asyncio.sleep(rng.uniform(0, 0.3))

    async def _leave(
        self, gateway: Process, route: str, behind: int, stay_s: float
    ):
        """Send a request, and others behind it, and close the connection."""
        address = gateway.settings["listen"]["frontend"]
        host, _, port = address.rpartition(":")
        self.leavers += 1
        requests = "".join(
            f"GET /{route}/left HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Gooseberrypost-Attempt-Id: left-{self.leavers}-{number}\r\n"
            f"X-Gooseberrypost-Token-Usage: {STREAM_USAGE}\r\n"
            f"X-Gooseberrypost-Prompt-Prefix: {SOUND_PARTS}\r\n"
            "X-Gooseberrypost-Deadline-Ms: 2000\r\n\r\n"
            for number in range(1 + behind)
        )
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            writer.write(requests.encode())
            await asyncio.sleep(stay_s)
        finally:
            writer.close()

    async def _check_leavers(self):
        """Check that work ends with its client, without other faults."""
        for engine in self.engines:
            engine.mode = "hang"
        for gateway in self.gateways:
            for route in ("safe", "text", "again"):
                for behind in REQUESTS_BEHIND:
                    await self._leave(gateway, route, behind, STAY_S)
        await asyncio.sleep(LEFT_S)
        at_work = [name for one in self.engines for name in one.running]
        if at_work:
            self.violations.append(f"at work without a client: {at_work}")
        for engine in self.engines:
            engine.mode = "answer"

    async def _check_limits(self):
        """Check the rate limits of servers, without other faults."""
        limited = [self.engines[number] for number in LIMITED]
        for engine in limited:
            engine.limit_per_s = str(CHECKED_LIMIT_PER_S)
        named_s = asyncio.get_running_loop().time()
        clients = [
            asyncio.create_task(self._client(number))
            for number in range(self.client_count)
        ]
        await asyncio.sleep(STABLE_WINDOW_S + WINDOW_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for engine in limited:
            most = most_in_window(engine.arrivals_s, named_s)
            if most > allowed(CHECKED_LIMIT_PER_S):
                self.violations.append(
                    f"{engine.instance}: {most} requests in {WINDOW_S} s at "
                    f"a limit of {CHECKED_LIMIT_PER_S}/s"
                )
            engine.limit_per_s = None
        await self._wait_for(self._all_idle, "idle after the limits")

    async def _faults(self):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.seconds
        active: set[asyncio.Task] = set()
        kinds = (
            self._restart_gateway,
            self._pause_gateway,
            self._fail_relay,
            self._fail_store,
            self._fail_engine,
            self._drain_engine,
            self._change_configuration,
            self._reload,
        )
        while loop.time() < end_s:
            if len(active) < MAX_ACTIVE_FAULTS:
                task = asyncio.create_task(self.rng.choice(kinds)())
                active.add(task)
                task.add_done_callback(active.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        await asyncio.gather(*active)

    def _record_fault(self, *words: object):
        self.trace.append(" ".join(map(str, words)))

    async def _restart_gateway(self):
        """Kill or terminate a gateway and start it again."""
        gateway = self.rng.choice(self.gateways)
        number = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        if gateway in self.restarting:
            return
        self.restarting.add(gateway)
        self._record_fault(number.name, gateway.settings["name"])
        if not gateway.running:
            self.violations.append(
                f"exited unexpectedly: {gateway.log_lines()[-3:]}"
            )
        gateway.signal(number)
        await asyncio.to_thread(gateway.popen.wait)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        gateway.start()
        await asyncio.sleep(INTERPRETER_START_S)
        self.restarting.discard(gateway)

    async def _pause_gateway(self):
        gateway = self.rng.choice(self.gateways)
        self._record_fault("pause", gateway.settings["name"])
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        gateway.signal(signal.SIGCONT)

    async def _fail_relay(self):
        relay = self.rng.choice(self.relays)
        kind = self.rng.choice(("cut", "stall"))
        self._record_fault(kind, "store of gateway", self.relays.index(relay))
        getattr(relay, kind)()
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        relay.heal()

    async def _fail_store(self):
        kind = self.rng.choice(("down", "silent", "deaf", "compact", "lapse"))
        self._record_fault("store", kind)
        if kind == "compact":
            self.store.compacted = self.store.revision
            self.store.abort_connections()
        elif kind == "lapse":
            for lease in list(self.store.leases):
                self.store.expire_lease(lease)
        else:
            setattr(self.store, kind, True)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            setattr(self.store, kind, False)

    async def _fail_engine(self):
        engine = self.rng.choice(self.engines)
        engine.mode = self.rng.choice(FAILURE_MODES)
        engine.own_status = self.rng.choice(NOT_EXECUTED_STATUSES)
        self._record_fault("server", engine.instance, engine.mode)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        engine.mode = "answer"

    async def _drain_engine(self):
        engine = self.rng.choice(self.engines)
        self._record_fault("drain", engine.instance)
        self._register(engine, state="draining")
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self._register(engine)

    async def _change_configuration(self):
        for _ in range(self.rng.randint(1, 5)):
            self.version += self.rng.randint(1, 7)
            self.store.put(
                "op/config", configuration_with_long_events(self.version)
            )
            await asyncio.sleep(self.rng.uniform(0, 0.1))
        self._record_fault("configuration", self.version)

    async def _reload(self):
        gateway = self.rng.choice(self.gateways)
        if gateway in self.restarting or not gateway.log_lines():
            # Until the first log line the interpreter may still be starting,
            # and SIGHUP would end the process.
            return
        self._record_fault("reload", gateway.settings["name"])
        gateway.signal(signal.SIGHUP)

    async def _recover(self):
        for number, gateway in enumerate(self.gateways):
            self.relays[number].heal()
            gateway.signal(signal.SIGCONT)
        await self._wait_for(self._all_ready, "all gateways ready again")
        await self._check_slow_snapshots()
        await self._wait_for(self._all_serve, "every route served everywhere")
        await self._wait_for(
            self._all_idle, "no server runs an abandoned request"
        )

    async def _check_slow_snapshots(self):
        """Check that snapshots arrive that take long for each gateway."""
        await self._change_configuration()
        size = len(self.store.items["op/config"]["value"])
        self.store.bytes_per_s = self.gateway_count * size / SNAPSHOT_S
        self.store.compacted = self.store.revision
        self.store.abort_connections()
        await self._wait_for(self._all_current, "newest version everywhere")
        self.store.bytes_per_s = 0

    async def _wait_for(self, condition, expectation: str):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RECOVERY_TIMEOUT_S
        while not await condition():
            if loop.time() > end_s:
                logs = [gateway.log_lines()[-2:] for gateway in self.gateways]
                self.violations.append(
                    f"not reached within {RECOVERY_TIMEOUT_S} s: "
                    f"{expectation}: {logs}"
                )
                return
            await asyncio.sleep(0.1)

    async def _all_ready(self) -> bool:
        for gateway in self.gateways:
            if not await is_gateway_ready(gateway):
                return False
        return True

    async def _all_current(self) -> bool:
        """Whether each gateway serves the route of the newest version."""
        timeout = aiohttp.ClientTimeout(total=4)
        route = newest_route(self.version)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number, gateway in enumerate(self.gateways):
                address = gateway.settings["listen"]["frontend"]
                headers = {
                    "Host": HOST,
                    "X-Gooseberrypost-Attempt-Id": f"current-{number}",
                    "X-Gooseberrypost-Deadline-Ms": "2000",
                }
                try:
                    async with session.get(
                        f"http://{address}/{route}/x", headers=headers
                    ) as response:
                        if response.status != 200:
                            return False
                except (aiohttp.ClientError, TimeoutError, OSError):
                    return False
        return True

    async def _all_serve(self) -> bool:
        timeout = aiohttp.ClientTimeout(total=4)
        first = len(self.sent)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for _ in range(4 * len(ROUTES)):
                await self._request(session, f"after-{len(self.sent)}")
        return all(s.status == 200 and s.complete for s in self.sent[first:])

    async def _all_idle(self) -> bool:
        return not any(engine.tasks for engine in self.engines)

    @property
    def moved(self) -> int:
        """Number of generations that continued on another engine."""
        return sum(len(engine.resumed) for engine in self.engines)

    def _check(self):
        for engine in self.engines:
            for request in engine.mismatched_sources:
                self.violations.append(
                    f"fetched the KV of another request: {request}"
                )
        runs: dict[str, int] = {}
        for engine in self.engines:
            for request in engine.executed:
                runs[request] = runs.get(request, 0) + 1
        for sent in self.sent:
            self._check_request(sent, runs.get(sent.request, 0))

    def _check_request(self, sent: SentRequest, runs: int):
        route = ROUTES[sent.route]
        repeatable = route["kind"] == "idempotent" or route.get("resumable")
        where = f"{sent.request} on {sent.route}, status {sent.status}"
        if runs > 1 and not repeatable:
            self.violations.append(f"executed {runs} times: {where}")
        if runs and sent.status in NOT_EXECUTED_STATUSES and not repeatable:
            self.violations.append(f"executed despite its refusal: {where}")
        numbers, versions = numbers_and_versions(sent.body)
        if len(versions) > 1:
            self.violations.append(
                f"stream of versions {sorted(versions)}, taken up "
                f"{sent.take_ups} times: {where}"
            )
        if sent.status != 200 or not sent.complete:
            return
        if route["kind"] == "streaming":
            events = "".join(
                f"id: {number}\ndata: {version}\n\n"
                for version in versions
                for number in range(1, STREAM_EVENTS + 1)
            )
            is_correct = bool(numbers) and sent.body == events.encode()
        else:
            is_correct = sent.body.endswith(
                f"/{sent.route}/{sent.request}".encode()
            )
        if not is_correct or not runs:
            self.violations.append(
                f"wrong response body: {where}: {sent.body[:80]!r}"
            )


def complete_events(body: bytes) -> bytes:
    """Return a stream without the event in which it broke off."""
    return body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""


def is_poison(request) -> bool:
    """Whether a request crashes the server that executes it."""
    prompt = request.header("Prompt-Prefix") or ""
    return request.target.endswith("/poison") or POISON_PART in prompt


def configuration_with_long_events(version: int) -> dict:
    """Return a large configuration with a route that only its version has.

    Its engines have 200 tokens per stream event.
    """
    document = configuration(version)
    (plain,) = (r for r in document["routes"] if r["name"] == "safe")
    document["routes"] += [
        {**plain, "name": name, "path_prefix": f"/{name}/"}
        for name in (
            newest_route(version),
            *(f"more-{number}" for number in range(MORE_ROUTES)),
        )
    ]
    for service in document["services"]:
        if "engine" in service:
            service["engine"] = {
                **service["engine"],
                "stride": TOKENS_PER_EVENT,
            }
    return document


def newest_route(version: int) -> str:
    return f"since-{version}"


async def soak(
    seed: int,
    seconds: float,
    gateways: int = GATEWAYS,
    clients: int = CLIENTS,
) -> Soak:
    run = Soak(seed, seconds, gateways, clients)
    await run.run()
    return run


@click.command()
@click.option("--seed", type=int, required=True)
@click.option(
    "--seeds",
    type=int,
    default=1,
    help="Number of seeds to run, counted up from --seed.",
)
@click.option("--seconds", type=float, default=20.0)
@click.option("--gateways", type=int, default=GATEWAYS)
@click.option("--clients", type=int, default=CLIENTS)
def main(seed: int, seeds: int, seconds: float, gateways: int, clients: int):
    """Run the seeds; the exit status is 1 if a guarantee was violated."""
    failed = False
    for number in range(seed, seed + seeds):
        run = asyncio.run(soak(number, seconds, gateways, clients))
        served = sum(s.status == 200 and s.complete for s in run.sent)
        taken_up = sum(s.take_ups for s in run.sent)
        click.echo(
            f"seed {number}: {len(run.sent)} sent, {served} served, "
            f"{run.moved} moved, {taken_up} taken up, "
            f"{len(run.trace)} faults, {run.leavers} left, "
            f"{sum(run.crashes.values())} crashes, "
            f"{len(run.violations)} violations"
        )
        for violation in run.violations:
            click.echo(f"  {violation}")
        if run.violations:
            failed = True
            click.echo("  " + "; ".join(run.trace))
    raise SystemExit(failed)


if __name__ == "__main__":
    main()
