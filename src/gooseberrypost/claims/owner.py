"""Claim owner: takes shards, serves their claims, and gives them up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err, Ok, Result

from gooseberrypost.claims._clocks import monotonic_ms, wall_ms
from gooseberrypost.claims._lease import OwnerLease
from gooseberrypost.claims._messages import MessageHandlers
from gooseberrypost.claims._serving import ClaimServing
from gooseberrypost.claims._store import run_steps
from gooseberrypost.claims._trim import TrimNotes
from gooseberrypost.claims.evidence import EvidenceKeeper
from gooseberrypost.claims.holders import HolderProbes
from gooseberrypost.claims.section import ClaimsSection
from gooseberrypost.claims.shard import HeldShard
from gooseberrypost.errors import Failure
from gooseberrypost.identity import new_incarnation
from gooseberrypost.policy.shards import (
    CANDIDATE_CHECK_INTERVAL_MS,
    check_interval_ms,
    fair_share,
    take_delay_ms,
)
from gooseberrypost.state.heads import ShardHead, head_key, lease_key
from gooseberrypost.state.shard_log import ShardLog
from gooseberrypost.stores.keyvalue import Conflict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.settings.entry import EntrySettings
    from gooseberrypost.stores.keyvalue import KeyValueStore
    from gooseberrypost.wire.channel import ChannelPool
    from gooseberrypost.wire.dispatch import Dispatcher

SCAN_INTERVAL_MS: Final = 100
TICK_INTERVAL_MS: Final = 100
EVIDENCE_INTERVAL_MS: Final = 5_000
TRIM_INTERVAL_MS: Final = 60_000
BALANCE_INTERVAL_MS: Final = 5_000
YIELD_MS: Final = 10_000
"""Time for others to take a shard that this entry gave up."""
HOLDER_INTERVAL_MS: Final = 1_000
LEASE_RETRY_MS: Final = 500
FLUSH_TIMEOUT_MS: Final = 2_000
OWNER: Final = "ClaimOwnerController"


class ClaimOwnerController(ClaimServing, Service):
    """Owns claim shards and answers the messages about their keys."""

    def __init__(
        self,
        cfg: EntrySettings,
        board: Blackboard,
        store: KeyValueStore,
        dispatcher: Dispatcher,
        rng: random.Random,
        clock_ms: Callable[[], int] = monotonic_ms,
        *,
        address: str | None = None,
        incarnation: int | None = None,
        outage_policy: Callable[[str], str] = lambda service: "memory",
        wall_clock_ms: Callable[[], int] = wall_ms,
        pool: ChannelPool | None = None,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.rng = rng
        self.address = address or cfg.internal_address
        """Bound ``host:port``, where the configured port is 0."""
        self.incarnation = incarnation or new_incarnation()
        self.outage_policy = outage_policy
        """``memory`` or ``refuse`` for a service name."""
        self.keeper = EvidenceKeeper(store, wall_clock_ms)
        board.add(ClaimsSection(self.keeper), OWNER)
        self.section = board.write(ClaimsSection, OWNER)
        self.lease = OwnerLease(
            cfg.name, self.incarnation, cfg.claims.lease_ms, store, clock_ms
        )
        self._store = store
        self._clock_ms = clock_ms
        self._free_since_ms: dict[int, int] = {}
        self._check_at_ms: dict[int, int] = {}
        self._trim_notes = TrimNotes(cfg.claims.retention_ms)
        self._wants_lease = False
        self._heads_lock = asyncio.Lock()
        self._probes = HolderProbes(pool) if pool is not None else None
        self._messages = MessageHandlers(self)
        self._messages.register(dispatcher)

    @classmethod
    def from_config(
        cls,
        cfg: EntrySettings,
        board: Blackboard,
        store: KeyValueStore,
        dispatcher: Dispatcher,
        rng: random.Random,
        **overrides: Any,
    ) -> ClaimOwnerController:
        """Build with the process's clocks."""
        return cls(cfg, board, store, dispatcher, rng, **overrides)

    async def on_stop(self) -> None:
        """Flush and release every shard, then end the lease."""
        shards = list(self.section.shards.values())
        await asyncio.gather(
            *(shard.flushed(FLUSH_TIMEOUT_MS) for shard in shards)
        )
        for shard in shards:
            self._drop(shard)
        await self._bounded(self._release(shards))
        await self._bounded(self.lease.revoke())

    async def _release(self, shards: list[HeldShard]) -> None:
        async with self._heads_lock:
            await asyncio.gather(
                *(run_steps(s.log.release(), self._store) for s in shards)
            )

    @Service.task
    async def _renew(self) -> None:
        if not self.cfg.claims.own:
            return
        while not self.should_stop:
            if not (self.section.shards or self._wants_lease):
                # 420 entries with a lease each would be 84 renewals a second.
                await self.sleep(SCAN_INTERVAL_MS / 1_000)
                continue
            renewed = await self.lease.renew(self._reaffirm)
            third_s = self.cfg.claims.lease_ms / 3_000
            retry_s = min(LEASE_RETRY_MS / 1_000, third_s)
            await self.sleep(third_s if renewed.is_ok() else retry_s)

    @Service.task
    async def _scan(self) -> None:
        while self.cfg.claims.own and not self.should_stop:
            await self._scan_once()
            await self.sleep(SCAN_INTERVAL_MS / 1_000)

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            for shard in list(self.section.shards.values()):
                shard.tick()
                if shard.is_lost:
                    self._drop(shard)
            await self.sleep(TICK_INTERVAL_MS / 1_000)

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            await self.sleep(HOLDER_INTERVAL_MS / 1_000)
            await self.probe_once()

    async def probe_once(self) -> None:
        """Orphan the claims of holders that are lost and not connected."""
        if self._probes is None:
            return
        shards = list(self.section.shards.values())
        holders = {h for shard in shards for h in shard.claims.holders}
        for holder in holders:
            if self._messages.is_connected(holder):
                continue
            if await self._probes.is_lost(holder):
                logging.info("event=holder_lost holder=%s", holder)
                for shard in shards:
                    shard.holder_lost(holder)

    @Service.task
    async def _sync_evidence(self) -> None:
        while not self.should_stop:
            if self.section.shards:
                await self.keeper.sync()
            await self.sleep(EVIDENCE_INTERVAL_MS / 1_000)

    @Service.task
    async def _trim(self) -> None:
        while not self.should_stop:
            await self.sleep(TRIM_INTERVAL_MS / 1_000)
            await self.trim_once()

    async def trim_once(self) -> None:
        """Drop what is due and note the segments written to now."""
        now_ms = self._clock_ms()
        for shard in self.section.shards.values():
            self._trim_notes.note(shard, now_ms)
        for note in self._trim_notes.due(now_ms):
            held = self.section.shards.get(note.shard)
            if held is None or held.log.epoch != note.epoch:
                continue
            if note.segment > held.log.head.segment:
                async with self._heads_lock:
                    steps = held.log.delete_segments_before(note.segment)
                    await self._bounded(run_steps(steps, self._store))

    @Service.task
    async def _balance(self) -> None:
        while not self.should_stop:
            await self.sleep(BALANCE_INTERVAL_MS / 1_000)
            await self.balance_once()

    async def balance_once(self) -> None:
        """Give up one shard beyond the fair share among connected entries."""
        held = self.section.shards
        shards, entries = self.cfg.claims.shards, self._messages.entries()
        if len(held) <= fair_share(shards, 1 + entries) + 1:
            return
        shard = held[max(held)]
        if shard.is_stalled:
            return
        await shard.flushed(FLUSH_TIMEOUT_MS)
        self._check_at_ms[shard.log.shard] = self._clock_ms() + YIELD_MS
        self._drop(shard)
        await self._bounded(self._release([shard]))

    async def _scan_once(self) -> None:
        for number in range(self.cfg.claims.shards):
            now_ms = self._clock_ms()
            if number in self.section.shards:
                continue
            if now_ms < self._check_at_ms.get(number, 0):
                continue
            if not await self._is_free(number):
                self._free_since_ms.pop(number, None)
                self._check_at_ms[number] = now_ms + self._interval_ms(number)
                continue
            since_ms = self._free_since_ms.setdefault(number, now_ms)
            delay_ms = take_delay_ms(
                len(self.section.shards),
                self.cfg.claims.shards,
                1 + len(self._others()),
            )
            if now_ms - since_ms >= delay_ms:
                await self._take(number)

    def _others(self) -> list[str]:
        return [peer for peer in self.cfg.peers if peer != self.address]

    def _interval_ms(self, number: int) -> int:
        interval_ms = check_interval_ms(number, self.address, self._others())
        if interval_ms == CANDIDATE_CHECK_INTERVAL_MS:
            interval_ms = min(interval_ms, self.cfg.claims.lease_ms // 4)
        return int(interval_ms * self.rng.uniform(0.75, 1.25))

    async def _is_free(self, number: int) -> bool:
        """Whether a shard has no owner with a live lease; no on failure."""
        read = await self._store.get(head_key(number))
        if isinstance(read, Err):
            return False
        parsed = ShardHead.parse(read.ok_value.value)
        if isinstance(parsed, Err):
            logging.error("event=head_invalid shard=%d", number)
            return False
        head = parsed.ok_value
        self.section.heads[number] = head
        if not head.name or head.incarnation == self.incarnation:
            return True
        key = lease_key(head.name, head.incarnation)
        lease = await self._store.get(key)
        return isinstance(lease, Ok) and lease.ok_value.version == 0

    async def _take(self, number: int) -> None:
        """Take a shard; on failure it is looked at again."""
        if not self.lease.held.is_held(self._clock_ms()):
            self._wants_lease = True
            return
        self._wants_lease = False
        log = ShardLog(
            number,
            self.cfg.name,
            self.address,
            self.incarnation,
            self.cfg.claims.segment_bytes,
        )
        async with self._heads_lock:
            if self.should_stop:
                return
            taken = await run_steps(log.acquire(), self._store)
            if isinstance(taken, Err):
                if isinstance(taken.err_value, Conflict):
                    self._free_since_ms.pop(number, None)
                return
            # A first claim is judged by the evidence of the former owner.
            await self._bounded(self.keeper.sync())
            self._hold(log)

    def _hold(self, log: ShardLog) -> None:
        shard = HeldShard(
            self.cfg.claims,
            log,
            self._store,
            self.lease.held,
            self.keeper,
            self._clock_ms,
        )
        self._free_since_ms.pop(log.shard, None)
        self.section.shards[log.shard] = shard
        self.section.heads[log.shard] = log.head
        self.add_future(shard.write())
        logging.info(
            "event=shard_taken shard=%d epoch=%d claims=%d",
            log.shard,
            log.epoch,
            len(shard.claims.claims),
        )
        self.section.notify()

    def _drop(self, shard: HeldShard) -> None:
        shard.lose()
        if self.section.shards.get(shard.log.shard) is shard:
            del self.section.shards[shard.log.shard]
            self.section.notify()

    async def _reaffirm(self) -> Result[None, Failure]:
        """Write every held head again; a shard taken over is dropped."""
        async with self._heads_lock:
            for shard in list(self.section.shards.values()):
                written = await run_steps(
                    shard.log.rewrite_head(), self._store
                )
                if isinstance(written, Ok):
                    continue
                if not isinstance(written.err_value, Conflict):
                    return written
                self._drop(shard)
        return Ok(None)

    async def _bounded(self, work: Any) -> None:
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1_000):
                await work
        except TimeoutError:
            logging.warning("event=shard_release_timeout")
