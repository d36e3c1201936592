"""Claims that other processes remember, for a log that has lost records.

The key-value service may come back from an older copy. What it lost is still
in the memory of the processes that served the shards. A new owner asks its
peers before it serves a shard, and a former owner sends what it remembers to
the present one until that has logged it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.claims._protocol import send_call
from gooseberrypost.claims.shard import NotOwner
from gooseberrypost.errors import Failure
from gooseberrypost.state.recall import format_records, parse_records
from gooseberrypost.state.segments import LogRecord
from gooseberrypost.state.shard_log import LogTail, find_tail
from gooseberrypost.wire.channel import failure_from_refusal
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gooseberrypost.claims.shard import OwnedShard
    from gooseberrypost.state.shard_log import ShardLog
    from gooseberrypost.stores.keyvalue import KeyValueStore
    from gooseberrypost.wire.channel import ChannelPool

RECALL_TIMEOUT_MS: Final = 500
HAND_OVER_TIMEOUT_MS: Final = 2_500
MAX_MESSAGE_RECORDS: Final = 4_000
"""Limit on the records of one message; 4,000 of 500 bytes are 2 MB."""


class ShardMemory:
    """Claims of a shard that this process no longer serves."""

    def __init__(self, shard: OwnedShard, now_ms: int) -> None:
        self.number = shard.log.shard
        self.epoch = shard.log.epoch
        self.lost_at_ms = now_ms
        self._claims = claims = shard.claims
        self.is_doubtful = claims.is_doubtful
        is_merged = claims.merged_sequence <= claims.confirmed_sequence
        self.tail = shard.log.tail if is_merged else LogTail()

    @cached_property
    def records(self) -> list[LogRecord]:
        """Records of every claim that another owner must know."""
        return self._claims.recollect(self.lost_at_ms)

    def is_in_log(self, lines: Iterable[str]) -> bool:
        """Whether a log with these batches holds all that is remembered."""
        return self.tail.line in lines or not self.records

    def recalled(self, epoch: int, first: int, limit: int) -> Any:
        """Build the reply to a peer; ``epoch`` is the highest one known."""
        part, total = [], len(self._claims.claims)
        if limit:
            part, total = (
                self.records[first : first + limit],
                len(self.records),
            )
        return idl.Recalled(
            epoch=epoch,
            tail=self.tail.line,
            total=total,
            records=format_records(part),
            doubtful=self.is_doubtful,
        )


class KnownEpochs:
    """Highest epoch of each shard by owner, as seen by this process."""

    def __init__(self) -> None:
        self._epochs: dict[int, dict[int, int]] = {}

    def note(self, shard: int, epoch: int, incarnation: int = 0) -> None:
        """Note an epoch of an owner; incarnation 0 is an unknown one."""
        owners = self._epochs.setdefault(shard, {})
        owners[incarnation] = max(owners.get(incarnation, 0), epoch)

    def highest(self, shard: int, except_of: int = -1) -> int:
        """Return the highest epoch that was not that of one owner."""
        owners = self._epochs.get(shard, {})
        return max(
            (epoch for inc, epoch in owners.items() if inc != except_of),
            default=0,
        )


@dataclass(slots=True)
class Recollection:
    """What this process and its peers remember beyond a replayed log."""

    epoch: int = 0
    """Highest epoch that a peer knows."""
    records: list[LogRecord] = field(default_factory=list)
    is_doubtful: bool = False
    """A former owner did not reach every process either."""
    unanswered: set[str] = field(default_factory=set)
    """Addresses of the peers that did not answer."""


class MemoryExchange:
    """Asks peers for the memories of a shard, and sends them to its owner."""

    def __init__(
        self,
        store: KeyValueStore,
        pool: ChannelPool | None,
        incarnation: int,
    ) -> None:
        self._store = store
        self._pool = pool
        self._incarnation = incarnation

    async def recall(
        self, log: ShardLog, own: ShardMemory | None, peers: Iterable[str]
    ) -> Recollection:
        """Collect what is remembered of a shard and is not in its log."""
        found = Recollection()
        if own is not None:
            found.is_doubtful = own.is_doubtful
            if not own.is_in_log(log.replayed_lines):
                found.records += own.records
        asked = list(peers) if self._pool is not None else []
        replies = await asyncio.gather(
            *(self._recall_from(address, log) for address in asked)
        )
        for address, reply in zip(asked, replies, strict=True):
            if isinstance(reply, Err):
                found.unanswered.add(address)
                continue
            found.epoch = max(found.epoch, reply.ok_value.epoch)
            found.records += reply.ok_value.records
            found.is_doubtful |= reply.ok_value.is_doubtful
        return found

    async def _recall_from(
        self, address: str, log: ShardLog
    ) -> Result[Recollection, Failure]:
        found = Recollection()
        limit = 0
        while True:
            message = idl.Recall(
                shard=log.shard,
                epoch=log.epoch,
                first=len(found.records),
                limit=limit,
                incarnation=self._incarnation,
            )
            reply = await self._request(address, message, RECALL_TIMEOUT_MS)
            if isinstance(reply, Err):
                return reply
            part = reply.ok_value
            found.epoch = part.epoch
            found.is_doubtful = bool(part.doubtful)
            if part.tail and part.tail in log.replayed_lines:
                return Ok(found)
            parsed = parse_records(part.records)
            if isinstance(parsed, Err):
                return parsed
            found.records += parsed.ok_value
            is_stuck = bool(limit) and not parsed.ok_value
            if len(found.records) >= part.total or is_stuck:
                return Ok(found)
            limit = MAX_MESSAGE_RECORDS

    async def hand_over(
        self, memory: ShardMemory, address: str
    ) -> Result[None, Failure]:
        """Send a memory to the owner of its shard, unless its log has it.

        The owner confirms first that it serves the shard. A batch that is in
        the log after that was there when the owner replayed it.
        """
        served = await self._send_records(memory, address, [])
        if isinstance(served, Err):
            return served
        if await self._is_stored(memory):
            return Ok(None)
        for first in range(0, len(memory.records), MAX_MESSAGE_RECORDS):
            part = memory.records[first : first + MAX_MESSAGE_RECORDS]
            sent = await self._send_records(memory, address, part)
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    async def _send_records(
        self, memory: ShardMemory, address: str, part: Sequence[LogRecord]
    ) -> Result[None, Failure]:
        message = idl.HandOver(
            shard=memory.number,
            epoch=memory.epoch,
            records=format_records(part),
        )
        reply = await self._request(address, message, HAND_OVER_TIMEOUT_MS)
        return reply.map(lambda done: None)

    async def _is_stored(self, memory: ShardMemory) -> bool:
        if not memory.tail.line:
            return False
        steps = find_tail(memory.number, memory.tail)
        try:
            reply = await send_call(self._store, next(steps))
            steps.send(reply)
        except StopIteration as stop:
            return stop.value == Ok(True)
        return False

    async def _request(
        self, address: str, message: Any, timeout_ms: int
    ) -> Result[Any, Failure]:
        if self._pool is None:
            return Err(NotOwner(f"{address} cannot be called"))
        reply = await self._pool.request(address, message, timeout_ms)
        if isinstance(reply, Err):
            return reply
        failure = failure_from_refusal(reply.ok_value)
        return reply if failure is None else Err(failure)
