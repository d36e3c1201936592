"""Cluster of claim owners and clients over loopback connections."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.claims._clocks import monotonic_ms
from gooseberrypost.claims.client import ClaimRequest
from gooseberrypost.claims.owner import ClaimOwnerController
from gooseberrypost.claims.remote import RemoteClaimClient
from gooseberrypost.identity import shard_of
from gooseberrypost.settings.entry import ClaimSettings, EntrySettings
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.fake_store import FakeStore, SharedState

SHARDS = 4


class Entry:
    """Claim owner, claim client and listener of one entry."""

    def __init__(self, name, shared, rng):
        self.name = name
        self.rng = rng
        self.store = FakeStore(shared)
        self.dispatcher = Dispatcher()
        self.listener = Listener(self.dispatcher)

    async def start(self, entries, own=True, lease_ms=800):
        peers = [e.listener.address for e in entries if e is not self]
        address = self.listener.address
        claims = ClaimSettings(SHARDS, own, lease_ms, linger_ms=2)
        cfg = EntrySettings(self.name, "z1", "", address, peers, claims=claims)
        self.owner = ClaimOwnerController.from_config(
            cfg, Blackboard(), self.store, self.dispatcher, self.rng
        )
        hello = idl.Hello(
            process_kind="entry",
            name=self.name,
            incarnation=self.owner.incarnation,
            zone="z1",
            address=address,
        )
        self.pool = ChannelPool(hello)
        self.client = RemoteClaimClient.from_config(
            cfg, self.store, self.pool, self.rng, monotonic_ms, self.owner
        )
        await self.owner.start()

    async def crash(self):
        """Stop without releasing shards or lease, as a lost VM does."""
        self.store.is_partitioned = True
        for shard in list(self.owner.section.shards.values()):
            shard.mark_lost()
        self.owner.section.shards.clear()
        await self.listener.stop()
        await self.pool.close()
        await self.owner.stop()

    async def claim(self, key, idempotent=True, digest=b"d", wait_ms=0):
        req = ClaimRequest(key, digest, "s", idempotent, 8_000, wait_ms)
        return await self.client.claim(req)


@asynccontextmanager
async def entries(count, owners=None, **settings):
    """Start a cluster and yield its entries once every shard is owned.

    Only the entries numbered in ``owners`` may own shards; ``None``: all.
    """
    shared = SharedState()
    rng = random.Random(3)
    cluster = [Entry(f"e{n}", shared, rng) for n in range(count)]
    for entry in cluster:
        await entry.listener.start("127.0.0.1:0")
    for number, entry in enumerate(cluster):
        own = owners is None or number in owners
        others = cluster if owners is None else [cluster[n] for n in owners]
        await entry.start(others, own, **settings)
    try:
        await wait_until(lambda: owned_shard_count(cluster) == SHARDS)
        yield cluster
    finally:
        shared.down = False
        for entry in cluster:
            await entry.pool.close()
            await entry.owner.stop()
            await entry.listener.stop()


def owned_shard_count(cluster):
    return sum(len(entry.owner.section.shards) for entry in cluster)


async def wait_until(condition, seconds=8):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def key_owned_by(entry, name="k"):
    """Find a key, chosen by the caller, whose shard an entry holds."""
    for number in range(1_000):
        if shard_of(f"{name}{number}", SHARDS) in entry.owner.section.shards:
            return f"{name}{number}"
    raise AssertionError("the entry holds no shard")
