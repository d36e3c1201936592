"""Fake agents, claims and policies for the entry tests."""

from __future__ import annotations

import asyncio
import dataclasses
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
from result import Err, Ok

from gooseberrypost.blackboard import Section
from gooseberrypost.claims.client import AnsweredBefore, ClaimClient, Grant
from gooseberrypost.entry.collaborators import Collaborators
from gooseberrypost.entry.daemon import EntryDaemon
from gooseberrypost.errors import KeyReused, Superseded
from gooseberrypost.policy.admission import AdmissionPolicy, Prediction
from gooseberrypost.policy.placement import EnginePair, PlacementPolicy
from gooseberrypost.policy.retry import MAX_DISPLACEMENTS
from gooseberrypost.settings.entry import EntrySettings
from gooseberrypost.state.records import EngineRecord, ServiceRecord
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

TOKENS = [f"t{n} " for n in range(8)]
LOAD = {"slots": 20, "slots_used": 1, "pieces": 200, "pieces_used": 1}


class FakeAgent:
    """Answers every message; ``script`` replaces replies by message type."""

    def __init__(self):
        self.received = []
        self.script = {}
        self.changed = asyncio.Condition()
        self.dispatcher = Dispatcher()
        for kind, reply in (
            (idl.Probe, self.probe),
            (idl.Reserve, self.reserve),
            (idl.Prefill, self.prefill),
            (idl.Decode, self.decode),
            (idl.Reattach, self.decode),
            (idl.Call, self.call),
            (idl.Revoke, self.revoke),
            (idl.Cancel, self.accept),
            (idl.ReleaseReservation, self.accept),
            (idl.ReleasePrefill, self.accept),
        ):
            self.dispatcher.register(kind, self.scripted(kind, reply))

    def scripted(self, kind, default_reply):
        async def handle(session, correlation, message):
            self.received.append(message)
            async with self.changed:
                self.changed.notify_all()
            queue = self.script.get(kind)
            send_reply = queue.pop(0) if queue else default_reply
            await send_reply(session, correlation, message)

        return handle

    def messages_of(self, kind):
        return [m for m in self.received if isinstance(m, kind)]

    async def wait_for(self, kind, count=1):
        async with asyncio.timeout(5), self.changed:
            await self.changed.wait_for(
                lambda: len(self.messages_of(kind)) >= count
            )
        return self.messages_of(kind)[count - 1]

    async def probe(self, session, correlation, message):
        reply = idl.ProbeReply(load=idl.Load(**LOAD))
        await session.send(correlation, reply)

    async def reserve(self, session, correlation, message):
        reply = idl.Reserved(
            reservation=7, load=idl.Load(**LOAD), link_start_ms=0
        )
        await session.send(correlation, reply)

    async def prefill(self, session, correlation, message):
        reply = idl.Prefilled(
            handle=f"h-{message.attempt}",
            tokens=3,
            cached_tokens=0,
            lives_ms=900,
            engine_address="127.0.0.1:1",
        )
        await session.send(correlation, reply)

    async def decode(self, session, correlation, message):
        first = getattr(message, "first_sequence", None)
        start = message.next_sequence if first is None else first
        await self.tokens(session, correlation, message, start, len(TOKENS))
        await session.send(
            correlation,
            idl.End(
                key=message.key,
                attempt=message.attempt,
                tokens=len(TOKENS),
                code="",
            ),
        )

    async def tokens(self, session, correlation, message, start, stop):
        for n in range(start, stop):
            token = idl.Token(
                key=message.key,
                attempt=message.attempt,
                sequence=n,
                text=TOKENS[n],
            )
            await session.send(correlation, token)

    async def call(self, session, correlation, message):
        headers = [
            idl.Header(name="Content-Type", value="text/plain"),
            idl.Header(name="X-Bad", value="a\r\nX-Split: b"),
        ]
        reply = idl.CallReply(
            status=201, headers=headers, body=b"got " + message.body
        )
        await session.send(correlation, reply)

    async def revoke(self, session, correlation, message):
        await session.send(correlation, idl.Revoked(never_started=False))

    async def accept(self, session, correlation, message):
        await session.send(correlation, idl.Ok())


def refuse(code, **fields):
    """Return a scripted reply that refuses with a failure code."""

    async def send_refusal(session, correlation, message):
        await session.send(
            correlation,
            idl.Refused(code=code, detail="", retry_after_ms=0, **fields),
        )

    return send_refusal


async def drop(session, correlation, message):
    """Close the connection in place of a reply."""
    session.abort()


async def hang(session, correlation, message):
    """Send no reply."""


class MemoryClaims(ClaimClient):
    """In-memory claims that are always available."""

    def __init__(self):
        self.minted = 0
        self.attempts = {}
        self.digests = {}
        self.answers = {}
        self.abandoned = []
        self.suspect = False
        self.superseded = False

    async def mint(self, service):
        self.minted += 1
        return Ok(f"gbp1-0-1-{self.minted:016x}")

    async def claim(self, req):
        if self.digests.setdefault(req.key, req.digest) != req.digest:
            return Err(KeyReused("other body"))
        if req.key in self.answers:
            return Err(AnsweredBefore(self.answers[req.key]))
        self.attempts[req.key] = self.attempts.get(req.key, 0) + 1
        number = self.attempts[req.key]
        return Ok(Grant(req.key, number, False, number > 1))

    async def renew(self, req, attempt):
        self.attempts[req.key] = attempt + 1
        return Ok(Grant(req.key, attempt + 1, self.suspect))

    async def complete(self, key, attempt, answer):
        if self.superseded or self.attempts[key] != attempt:
            return Err(Superseded(""))
        self.answers[key] = answer
        return Ok(None)

    async def abandon(self, key, attempt, not_run):
        self.abandoned.append((key, attempt, not_run))


class AdmitAll(AdmissionPolicy):
    refusal = None

    def decide(self, req, prefill, decode, now_ms):
        if self.refusal is not None:
            return Err(self.refusal)
        return Ok(Prediction(now_ms, now_ms))


class FirstPair(PlacementPolicy):
    def __init__(self):
        self.views = []

    def rank(self, req, prefill, decode, now_ms, rng):
        self.views.append(req)
        return [
            EnginePair(p, d, now_ms + 5, now_ms + 50, now_ms, "test")
            for p in sorted(prefill, key=lambda v: v.name)
            for d in sorted(decode, key=lambda v: v.name)
            if not p.draining and not d.draining
        ]


class FakeLimiter:
    refusal = None

    def acquire(self, account, now_ms, occupancy=0.0, cost=1.0):
        return Ok(None) if self.refusal is None else Err(self.refusal)

    def release(self, account_name, now_ms):
        pass

    def reconfigure(self, service):
        pass


class FakeRetryBudget:
    allowed = True

    def record_request(self, now_ms):
        pass

    def retry(self, attempt, now_ms, deadline_ms, rng):
        return Ok(0) if self.allowed and attempt < 6 else Err(None)

    def retry_displaced(
        self, displacements, attempt, now_ms, deadline_ms, rng
    ):
        return Ok(0) if displacements <= MAX_DISPLACEMENTS else Err(None)


class FilledConfiguration(Section):
    __slots__ = ("records", "version")

    def __init__(self, records):
        super().__init__()
        self.records = records
        self.version = 1


class Rig:
    """An entry with fake agents and an HTTP session to call it."""

    def __init__(self):
        self.claims = MemoryClaims()
        self.admission = AdmitAll()
        self.placement = FirstPair()
        self.limiter = FakeLimiter()
        self.retries = FakeRetryBudget()
        self.agents = {}

    def collaborators(self, records):
        return Collaborators(
            configuration=FilledConfiguration(records),
            claims=self.claims,
            admission=self.admission,
            placement=self.placement,
            make_limiter=lambda service: self.limiter,
            make_retries=lambda service: self.retries,
            choose_subset=lambda entry_name, zone, members, size: members[
                :size
            ],
            occupancy=lambda decode: 0.0,
        )

    def post(self, path, **kwargs):
        return self.http.post(
            f"http://{self.daemon.http.address}{path}", **kwargs
        )

    def get(self, path):
        return self.http.get(f"http://{self.daemon.http.address}{path}")

    def complete(self, *, key=None, headers=None, **fields):
        headers = dict(headers or {})
        if key:
            headers["Idempotency-Key"] = key
        body = {"model": "m", "prompt": "hello", **fields}
        return self.post("/v1/completions", json=body, headers=headers)

    def metric(self, name, **labels):
        return self.daemon.context.metrics.value(name, **labels)


NAMES = ("p1", "p2", "d1", "d2", "s1", "s2")
ROLES = {"p": "prefill", "d": "decode", "s": "plain"}


@asynccontextmanager
async def running(**settings):
    """Run an entry with two agents of each role."""
    rig = Rig()
    async with AsyncExitStack() as stack:
        records = {
            "service/llm": ServiceRecord("llm", models=["m"]),
            "service/desk": ServiceRecord(
                "desk", kind="plain", non_idempotent=["POST /log"]
            ),
        }
        for name in NAMES:
            agent = rig.agents[name] = FakeAgent()
            listener = await stack.enter_async_context(
                Listener.serving("127.0.0.1:0", agent.dispatcher)
            )
            records[f"engine/{name}"] = EngineRecord(
                name,
                service="desk" if name[0] == "s" else "llm",
                agent_address=listener.address,
                zone="z1",
                role=ROLES[name[0]],
                model="" if name[0] == "s" else "m",
            )
        cfg = EntrySettings("e1", "z1", "127.0.0.1:0", "127.0.0.1:0")
        cfg = dataclasses.replace(cfg, **settings)
        rig.daemon = await EntryDaemon.from_config(
            cfg, rig.collaborators(records)
        )
        await rig.daemon.start()
        rig.http = await stack.enter_async_context(aiohttp.ClientSession())
        try:
            yield rig
        finally:
            await rig.daemon.stop()


def run(scenario, **settings):
    """Run an async scenario against an entry, with a timeout of 20 s."""

    async def main():
        async with asyncio.timeout(20), running(**settings) as rig:
            await scenario(rig)

    asyncio.run(main())
