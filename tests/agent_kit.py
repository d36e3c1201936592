"""Helpers for tests of the agent, over real sockets in one process."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace

from result import Err, Ok

from gooseberrypost.agent.daemon import Agent
from gooseberrypost.settings.agent import AgentSettings, BackendSettings
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueStore,
    KeyValueUnavailable,
    LeaseLost,
    Versioned,
)
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.messages import idl
from tests.standins.engine import Engine

INCARNATIONS = itertools.count(1_000)
DEFAULT_TIMEOUT_MS = 5_000


class MemoryStore(KeyValueStore):
    """Key-value service in memory; a lease expires when a test expires it."""

    def __init__(self):
        self.values: dict[str, tuple[Versioned, int]] = {}
        self.leases: set[int] = set()
        self.lease_ids = itertools.count(1)
        self.up = True

    def lapse(self, lease: int):
        self.leases.discard(lease)
        for key, (_, key_lease) in list(self.values.items()):
            if key_lease == lease:
                del self.values[key]

    async def get(self, key):
        if not self.up:
            return Err(KeyValueUnavailable(key))
        return Ok(self.values.get(key, (Versioned("", 0), 0))[0])

    async def put(self, key, value, expect_version, lease=0):
        found = await self.get(key)
        if isinstance(found, Err):
            return found
        if found.ok_value.version != expect_version:
            return Err(Conflict(key))
        version = expect_version + 1
        self.values[key] = (Versioned(value, version), lease)
        return Ok(version)

    async def delete(self, key, expect_version):
        raise NotImplementedError

    async def grant_lease(self, ttl_ms):
        if not self.up:
            return Err(KeyValueUnavailable("lease"))
        self.leases.add(lease := next(self.lease_ids))
        return Ok(lease)

    async def keep_alive(self, lease):
        if not self.up:
            return Err(KeyValueUnavailable("lease"))
        return Ok(None) if lease in self.leases else Err(LeaseLost())

    async def revoke_lease(self, lease):
        self.lapse(lease)
        return Ok(None)

    async def watch(self, key, after_version, wait_ms):
        raise NotImplementedError

    async def close(self):
        pass


def settings(backend, kind="model", **changes) -> AgentSettings:
    """Build the settings of an agent for a stand-in backend server."""
    sizes = {
        name: changes.pop(name)
        for name in ("slots", "pieces", "link_kb_per_s")
        if name in changes
    }
    cfg = AgentSettings(
        name="engine-1",
        vm="vm-1",
        zone="z1",
        service="llm",
        internal_address="127.0.0.1:0",
        backend=BackendSettings(kind, backend.address, **sizes),
        load_poll_ms=100,
        vm_poll_ms=100,
        seed=1,
    )
    return replace(cfg, **changes)


@asynccontextmanager
async def running(cfg, **parts):
    """Start an agent, wait until it has reconciled, and stop it at exit."""
    agent = Agent.from_config(cfg, **parts)
    await agent.start()
    try:
        await until(lambda: agent.lifecycle.lifecycle.reconciled)
        yield agent
    finally:
        await agent.stop()


@asynccontextmanager
async def entry(agent, address="", heartbeats=True, incarnation=0):
    """Connect to an agent as an entry."""
    hello = idl.Hello(
        process_kind="entry",
        name="e1",
        incarnation=incarnation or next(INCARNATIONS),
        zone="z1",
        address=address,
    )
    channel = (await Channel.connect(agent.address, hello)).unwrap()
    if not heartbeats:
        channel._tasks[1].cancel()
    try:
        yield channel
    finally:
        await channel.close()


@dataclass
class Rig:
    """A prefill and a decode engine, their agents, and entry connections."""

    prefill_engine: Engine
    decode_engine: Engine
    prefill_agent: Agent
    decode_agent: Agent
    prefill_channel: Channel
    """Connection to the prefill agent."""
    decode_channel: Channel
    """Connection to the decode agent."""

    async def prepare(self, key="k", prompt=None):
        """Reserve a decode slot and run the prefill; returns both replies."""
        reserved = await ask(self.decode_channel, reserve(key))
        prompt = prompt or f"tell me about {key}"
        return reserved, await ask(
            self.prefill_channel, prefill(key, prompt=prompt)
        )

    def is_decode_free(self) -> bool:
        """Whether neither the decode engine nor its ledger holds anything."""
        ledger = self.decode_agent.capacity.capacity.ledger
        return ledger.is_idle and not self.decode_engine.attempts

    def is_free(self) -> bool:
        """Whether no engine and no ledger holds anything."""
        ledger = self.prefill_agent.capacity.capacity.ledger
        idle = ledger.is_idle and not self.prefill_engine.attempts
        return idle and self.is_decode_free()


@asynccontextmanager
async def running_rig(
    prefill_options=None, decode_options=None, heartbeats=True, **changes
):
    """Run a rig; the options are those of the two stand-in engines.

    Further settings apply to both agents.
    """
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        prefill_engine = await enter(Engine.serving(**(prefill_options or {})))
        decode_engine = await enter(Engine.serving(**(decode_options or {})))
        prefill_agent = await enter(
            running(settings(prefill_engine, **changes))
        )
        decode_agent = await enter(running(settings(decode_engine, **changes)))
        prefill_channel = await enter(
            entry(prefill_agent, heartbeats=heartbeats)
        )
        decode_channel = await enter(
            entry(decode_agent, heartbeats=heartbeats)
        )
        yield Rig(
            prefill_engine,
            decode_engine,
            prefill_agent,
            decode_agent,
            prefill_channel,
            decode_channel,
        )


async def until(condition, timeout_ms=DEFAULT_TIMEOUT_MS):
    """Wait until a condition holds; fails after ``timeout_ms``."""
    async with asyncio.timeout(timeout_ms / 1_000):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def reserve(key="k", attempt=1, **changes):
    fields = {
        "service_name": "llm",
        "model": "m",
        "pieces": 2,
        "ttl_ms": 2_000,
        "priority": 5,
        "digest": key.encode(),
    }
    return idl.Reserve(key=key, attempt=attempt, **(fields | changes))


def prefill(key="k", attempt=1, **changes):
    fields = {
        "service_name": "llm",
        "model": "m",
        "prompt": f"tell me about {key}",
        "priority": 5,
        "deadline_ms": 10_000,
        "digest": key.encode(),
    }
    return idl.Prefill(key=key, attempt=attempt, **(fields | changes))


def decode(reserved, prefilled, key="k", attempt=1, **changes):
    fields = {
        "reservation": reserved.reservation,
        "handle": prefilled.handle,
        "engine_address": prefilled.engine_address,
        "max_tokens": 20,
        "first_sequence": 0,
        "priority": 5,
        "deadline_ms": 10_000,
        "model": "m",
        "transfer_timeout_ms": 2_000,
    }
    return idl.Decode(key=key, attempt=attempt, **(fields | changes))


def call(key="k", attempt=1, **changes):
    fields = {
        "service_name": "booking",
        "method": "POST",
        "path": "/book?rig=7",
        "headers": [idl.Header(name="Content-Type", value="text/plain")],
        "body": b"two rigs",
        "idempotent": False,
        "deadline_ms": 5_000,
        "digest": key.encode(),
    }
    return idl.Call(key=key, attempt=attempt, **(fields | changes))


async def ask(channel, message):
    """Send a message and return its reply."""
    return (await channel.request(message, DEFAULT_TIMEOUT_MS)).unwrap()


async def collect(replies):
    """Read a token stream; returns its text and its last message."""
    texts = []
    while True:
        message = (await replies.next(DEFAULT_TIMEOUT_MS)).unwrap()
        if not isinstance(message, idl.Token):
            return "".join(texts), message
        texts.append(message.text)
