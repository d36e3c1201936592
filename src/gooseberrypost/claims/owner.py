"""Claim owner: takes over shards, serves their claims, releases them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err, Ok, Result

from gooseberrypost.claims._clocks import monotonic_ms, wall_ms
from gooseberrypost.claims._handlers import MessageHandlers
from gooseberrypost.claims._lease import OwnerLease
from gooseberrypost.claims._operations import ClaimOperations
from gooseberrypost.claims._protocol import run_steps
from gooseberrypost.claims._trim import TrimSchedule
from gooseberrypost.claims.evidence import EvidenceStore
from gooseberrypost.claims.holders import HolderProber
from gooseberrypost.claims.section import ClaimsSection
from gooseberrypost.claims.shard import OwnedShard
from gooseberrypost.errors import Failure
from gooseberrypost.identity import new_incarnation
from gooseberrypost.logs import LineLimit
from gooseberrypost.policy.shards import (
    CANDIDATE_CHECK_INTERVAL_MS,
    check_interval_ms,
    fair_share,
    take_delay_ms,
)
from gooseberrypost.state.heads import ShardHead, head_key, lease_key
from gooseberrypost.state.segments import InvalidSegment
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
EVIDENCE_SYNC_INTERVAL_MS: Final = 5_000
TRIM_INTERVAL_MS: Final = 60_000
BALANCE_INTERVAL_MS: Final = 5_000
REACQUIRE_DELAY_MS: Final = 10_000
"""Delay before this entry may acquire a shard that it has released.

Other entries can acquire the shard meanwhile.
"""
HOLDER_PROBE_INTERVAL_MS: Final = 1_000
LEASE_RETRY_INTERVAL_MS: Final = 500
FLUSH_TIMEOUT_MS: Final = 2_000
LOG_INTERVAL_S: Final = 1.0
"""Interval of log lines on a log that cannot be read."""
SECTION_OWNER: Final = "ClaimOwnerController"


class ClaimOwnerController(ClaimOperations, Service):
    """Owns claim shards and handles the messages about their keys."""

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
        """Bound internal ``host:port``; the configured port may be 0."""
        self.incarnation = incarnation or new_incarnation()
        self.outage_policy = outage_policy
        """Maps the name of a service to ``memory`` or ``refuse``."""
        self.evidence_store = EvidenceStore(store, wall_clock_ms)
        board.add(ClaimsSection(self.evidence_store), SECTION_OWNER)
        self.section = board.write(ClaimsSection, SECTION_OWNER)
        self.lease = OwnerLease(
            cfg.name, self.incarnation, cfg.claims.lease_ms, store, clock_ms
        )
        self._store = store
        self._clock_ms = clock_ms
        self._unowned_since_ms: dict[int, int] = {}
        self._next_check_ms: dict[int, int] = {}
        self._trim_schedule = TrimSchedule(cfg.claims.retention_ms)
        self._needs_lease = False
        self._log_limit = LineLimit(LOG_INTERVAL_S)
        self._heads_lock = asyncio.Lock()
        self._holder_prober = HolderProber(pool) if pool is not None else None
        self._handlers = MessageHandlers(self)
        self._handlers.register(dispatcher)

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
        """Build the claim owner of an entry."""
        return cls(cfg, board, store, dispatcher, rng, **overrides)

    async def on_stop(self) -> None:
        """Flush and release every shard, then revoke the lease."""
        shards = list(self.section.shards.values())
        await asyncio.gather(
            *(shard.flush(FLUSH_TIMEOUT_MS) for shard in shards)
        )
        for shard in shards:
            self._stop_serving(shard)
        await self._run_with_timeout(self._release_shards(shards))
        await self._run_with_timeout(self.lease.revoke())

    async def _release_shards(self, shards: list[OwnedShard]) -> None:
        async with self._heads_lock:
            await asyncio.gather(
                *(run_steps(s.log.release(), self._store) for s in shards)
            )

    @Service.task
    async def _renew_lease(self) -> None:
        if not self.cfg.claims.own:
            return
        while not self.should_stop:
            if not (self.section.shards or self._needs_lease):
                # Entries without a shard hold no lease: 420 entries with a
                # lease each would send 84 renewals a second.
                await self.sleep(SCAN_INTERVAL_MS / 1_000)
                continue
            renewed = await self.lease.renew(self._rewrite_heads)
            third_s = self.cfg.claims.lease_ms / 3_000
            retry_s = min(LEASE_RETRY_INTERVAL_MS / 1_000, third_s)
            await self.sleep(third_s if renewed.is_ok() else retry_s)

    @Service.task
    async def _scan_shards(self) -> None:
        while self.cfg.claims.own and not self.should_stop:
            await self._scan_once()
            await self.sleep(SCAN_INTERVAL_MS / 1_000)

    @Service.task
    async def _tick_shards(self) -> None:
        while not self.should_stop:
            for shard in list(self.section.shards.values()):
                shard.tick()
                if shard.is_lost:
                    self._stop_serving(shard)
            await self.sleep(TICK_INTERVAL_MS / 1_000)

    @Service.task
    async def _probe_holders(self) -> None:
        while not self.should_stop:
            await self.sleep(HOLDER_PROBE_INTERVAL_MS / 1_000)
            await self.probe_once()

    async def probe_once(self) -> None:
        """Start the grace period of holders that probes find lost."""
        if self._holder_prober is None:
            return
        shards = list(self.section.shards.values())
        holders = {h for shard in shards for h in shard.claims.holders}
        for holder in holders:
            if self._handlers.is_connected(holder):
                continue
            if await self._holder_prober.is_lost(holder):
                logging.info("event=holder_lost holder=%s", holder)
                for shard in shards:
                    shard.holder_lost(holder)

    @Service.task
    async def _sync_evidence(self) -> None:
        while not self.should_stop:
            if self.section.shards:
                await self.evidence_store.sync()
            await self.sleep(EVIDENCE_SYNC_INTERVAL_MS / 1_000)

    @Service.task
    async def _trim_logs(self) -> None:
        while not self.should_stop:
            await self.sleep(TRIM_INTERVAL_MS / 1_000)
            await self.trim_once()

    async def trim_once(self) -> None:
        """Delete segments that are due and record the current segments."""
        now_ms = self._clock_ms()
        for shard in self.section.shards.values():
            self._trim_schedule.observe(shard, now_ms)
        for old in self._trim_schedule.take_due(now_ms):
            owned = self.section.shards.get(old.shard)
            if owned is None or owned.log.epoch != old.epoch:
                continue
            if old.segment > owned.log.head.segment:
                async with self._heads_lock:
                    steps = owned.log.delete_segments_before(old.segment)
                    await self._run_with_timeout(run_steps(steps, self._store))

    @Service.task
    async def _balance_shards(self) -> None:
        while not self.should_stop:
            await self.sleep(BALANCE_INTERVAL_MS / 1_000)
            await self.balance_once()

    async def balance_once(self) -> None:
        """Release one shard if this entry owns more than its fair share.

        The share is that among the connected entries. One shard more is
        tolerated.
        """
        owned = self.section.shards
        shards, other_entries = (
            self.cfg.claims.shards,
            self._handlers.other_entries(),
        )
        if len(owned) <= fair_share(shards, 1 + other_entries) + 1:
            return
        shard = owned[max(owned)]
        if shard.is_stalled:
            return
        await shard.flush(FLUSH_TIMEOUT_MS)
        self._next_check_ms[shard.log.shard] = (
            self._clock_ms() + REACQUIRE_DELAY_MS
        )
        self._stop_serving(shard)
        await self._run_with_timeout(self._release_shards([shard]))

    async def _scan_once(self) -> None:
        for number in range(self.cfg.claims.shards):
            now_ms = self._clock_ms()
            if number in self.section.shards:
                continue
            if now_ms < self._next_check_ms.get(number, 0):
                continue
            if not await self._is_unowned(number):
                self._unowned_since_ms.pop(number, None)
                self._next_check_ms[number] = (
                    now_ms + self._jittered_interval_ms(number)
                )
                continue
            since_ms = self._unowned_since_ms.setdefault(number, now_ms)
            delay_ms = take_delay_ms(
                len(self.section.shards),
                self.cfg.claims.shards,
                1 + len(self._other_peers()),
            )
            if now_ms - since_ms >= delay_ms:
                await self._take_over(number)

    def _other_peers(self) -> list[str]:
        return [peer for peer in self.cfg.peers if peer != self.address]

    def _jittered_interval_ms(self, number: int) -> int:
        interval_ms = check_interval_ms(
            number, self.address, self._other_peers()
        )
        if interval_ms == CANDIDATE_CHECK_INTERVAL_MS:
            interval_ms = min(interval_ms, self.cfg.claims.lease_ms // 4)
        return int(interval_ms * self.rng.uniform(0.75, 1.25))

    async def _is_unowned(self, number: int) -> bool:
        """Whether a shard has no owner with a live lease; false on failure."""
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

    async def _take_over(self, number: int) -> None:
        """Take over a shard; after a failure the scan tries again."""
        if not self.lease.held.is_held(self._clock_ms()):
            self._needs_lease = True
            return
        self._needs_lease = False
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
                self._handle_failed_takeover(number, taken.err_value)
                return
            # The first claim needs the evidence that the former owner had.
            await self._run_with_timeout(self.evidence_store.sync())
            self._start_serving(log)

    def _handle_failed_takeover(self, number: int, failure: Failure) -> None:
        if isinstance(failure, Conflict):
            self._unowned_since_ms.pop(number, None)
        elif isinstance(failure, InvalidSegment) and self._log_limit.admit():
            logging.error(
                "event=segment_invalid shard=%d detail=%r omitted=%d",
                number,
                failure.detail,
                self._log_limit.omitted,
            )

    def _start_serving(self, log: ShardLog) -> None:
        shard = OwnedShard(
            self.cfg.claims,
            log,
            self._store,
            self.lease.held,
            self.evidence_store,
            self._clock_ms,
        )
        self._unowned_since_ms.pop(log.shard, None)
        self.section.shards[log.shard] = shard
        self.section.heads[log.shard] = log.head
        self.add_future(shard.run_writer())
        logging.info(
            "event=shard_taken shard=%d epoch=%d claims=%d",
            log.shard,
            log.epoch,
            len(shard.claims.claims),
        )
        self.section.notify()

    def _stop_serving(self, shard: OwnedShard) -> None:
        shard.mark_lost()
        if self.section.shards.get(shard.log.shard) is shard:
            del self.section.shards[shard.log.shard]
            self.section.notify()

    async def _rewrite_heads(self) -> Result[None, Failure]:
        """Write the heads of all owned shards again.

        A shard that a successor has taken over is no longer served.
        """
        async with self._heads_lock:
            for shard in list(self.section.shards.values()):
                written = await run_steps(
                    shard.log.rewrite_head(), self._store
                )
                if isinstance(written, Ok):
                    continue
                if not isinstance(written.err_value, Conflict):
                    return written
                self._stop_serving(shard)
        return Ok(None)

    async def _run_with_timeout(self, work: Any) -> None:
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1_000):
                await work
        except TimeoutError:
            logging.warning("event=shard_release_timeout")
