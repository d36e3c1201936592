"""Write-ahead log of a claim shard, kept in the key-value service.

An owner acquires the shard by a compare-and-swap of its head, replays the log
and then appends to it. Each operation is a generator that yields one call to
the key-value service at a time and receives its result. A daemon drives it
with a real client; tests drive it call by call and inject faults between any
two calls.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import replace
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.state.heads import (
    ShardHead,
    head_key,
    lease_key,
    segment_key,
)
from gooseberrypost.state.segments import InvalidSegment, LogRecord, Segment
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueUnavailable,
    Versioned,
)


class OwnershipLost(Failure):
    """Another owner has acquired the shard with a higher epoch."""

    code = "deposed"


class ShardStillLeased(Failure):
    """The lease of the shard's current owner has not expired."""

    code = "still_held"


class Get(NamedTuple):
    """Read the value and version of a key."""

    key: str


class Put(NamedTuple):
    """Write a key if its version is ``expect_version``; 0: it is absent."""

    key: str
    value: str
    expect_version: int


class Delete(NamedTuple):
    """Delete a key if its version is ``expect_version``."""

    key: str
    expect_version: int


StoreCall = Get | Put | Delete
T = TypeVar("T")
StoreSteps = Generator[StoreCall, Result[Any, Failure], T]
"""Operation that yields its calls to the key-value service."""


class ShardLog:
    """Log of one shard, for one owner in one epoch."""

    def __init__(
        self,
        shard: int,
        name: str,
        address: str,
        incarnation: int,
        segment_bytes: int,
    ) -> None:
        self.shard = shard
        self.head = ShardHead()
        self.segment_number = 0
        """Number of the segment that the next batch is appended to."""
        self.replayed_records: list[LogRecord] = []
        """Records of earlier epochs, in order; set by ``acquire``."""
        self._own_head = ShardHead(name, address, incarnation)
        self._segment_bytes = segment_bytes
        self._head_version = 0
        self._segment = Segment(0)
        self._segment_version = 0
        self._batch_count = 0

    @property
    def epoch(self) -> int:
        """Epoch in which this owner holds the shard."""
        return self.head.epoch

    def acquire(self) -> StoreSteps[Result[None, Failure]]:
        """Acquire a free shard: write the head, then seal and replay the log.

        The head is read before the lease key of the current owner. An owner
        that regains its lease writes the lease key before the head, so one of
        the two compare-and-swaps of the head fails. Fails with
        ``ShardStillLeased``, ``Conflict``, ``OwnershipLost`` or a failure of
        the key-value service; the next try starts over with a higher epoch.
        """
        read = yield from self._read_head()
        if isinstance(read, Err):
            return read
        found, former = read.ok_value
        free = yield from self._check_not_leased(former)
        if isinstance(free, Err):
            return free
        target = replace(
            self._own_head, epoch=former.epoch + 1, segment=former.segment
        )
        written = yield from self._cas_head(target, found.version)
        if isinstance(written, Err):
            return written
        return (yield from self._seal_log())

    def rewrite_head(self) -> StoreSteps[Result[None, Failure]]:
        """Write the head again after this owner regained its lease.

        ``Conflict`` means that a successor has acquired the shard.
        """
        target = replace(self.head, renewal=self.head.renewal + 1)
        return (yield from self._cas_head(target, self._head_version))

    def release(self) -> StoreSteps[Result[None, Failure]]:
        """Release the shard, so that a successor need not await the lease."""
        target = replace(self.head, name="", address="", incarnation=0)
        return (yield from self._cas_head(target, self._head_version))

    def delete_segments_before(
        self, first: int
    ) -> StoreSteps[Result[None, Failure]]:
        """Delete the segments before ``first``.

        The head is written first, so that no successor replays from a deleted
        segment.
        """
        old = range(self.head.segment, min(first, self.segment_number))
        target = replace(self.head, segment=old.stop)
        written = yield from self._cas_head(target, self._head_version)
        if isinstance(written, Err):
            return written
        for number in old:
            key = segment_key(self.shard, number)
            found = yield Get(key)
            if isinstance(found, Ok):
                yield Delete(key, found.ok_value.version)
        return Ok(None)

    def append(
        self, records: Sequence[LogRecord]
    ) -> StoreSteps[Result[None, OwnershipLost]]:
        """Append one batch; returns once confirmed, or ``OwnershipLost``.

        The same value is written until a read returns it or shows another
        owner. Writing a different value instead would lose the batch of a
        delayed write.
        """
        self._batch_count += 1
        batch = f"{self.epoch}.{self._batch_count}"
        grown = self._segment.with_batch(batch, records)
        if self._segment.lines and grown.size_bytes() > self._segment_bytes:
            rolled = yield from self._roll_over()
            if isinstance(rolled, Err):
                return rolled
            grown = self._segment.with_batch(batch, records)
        return (yield from self._write(grown, lambda s: s.has_batch(batch)))

    def _read_head(
        self,
    ) -> StoreSteps[Result[tuple[Versioned, ShardHead], Failure]]:
        reply = yield Get(head_key(self.shard))
        if isinstance(reply, Err):
            return reply
        found: Versioned = reply.ok_value
        return ShardHead.parse(found.value).map(lambda head: (found, head))

    def _check_not_leased(
        self, former: ShardHead
    ) -> StoreSteps[Result[None, Failure]]:
        if not former.name or former.incarnation == self._own_head.incarnation:
            return Ok(None)
        reply = yield Get(lease_key(former.name, former.incarnation))
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.version:
            return Err(
                ShardStillLeased(
                    f"shard {self.shard} is leased to {former.name}"
                )
            )
        return Ok(None)

    def _cas_head(
        self, target: ShardHead, version: int
    ) -> StoreSteps[Result[None, Failure]]:
        """Compare-and-swap the head; an unknown outcome is read back."""
        key = head_key(self.shard)
        reply = yield Put(key, target.text(), version)
        while not isinstance(reply, Ok):
            if isinstance(reply.err_value, KeyValueUnavailable):
                return reply
            found = yield Get(key)
            if isinstance(found, Err):
                reply = found
                # The write may have taken effect: as the read failed too, its
                # outcome stays unknown.
                return Err(reply.err_value)
            if found.ok_value.value == target.text():
                reply = Ok(found.ok_value.version)
            elif found.ok_value.version != version:
                return Err(Conflict(f"{key} was written by another owner"))
            else:
                reply = yield Put(key, target.text(), version)
        self.head = target
        self._head_version = reply.ok_value
        return Ok(None)

    def _seal_log(self) -> StoreSteps[Result[None, Failure]]:
        """Seal the last segment of the log and collect all records.

        If the last existing segment is already sealed, the next one is created
        as sealed. An earlier owner that is rolling over to that segment then
        fails to create it.
        """
        records: list[LogRecord] = []
        number = self.head.segment
        while True:
            step = yield from self._seal_segment(number)
            if isinstance(step, Err):
                return step
            segment, is_last = step.ok_value
            records.extend(segment.records())
            number += 1
            if is_last:
                break
        self.replayed_records = records
        self.segment_number = number
        self._segment = Segment(self.epoch)
        self._segment_version = 0
        return Ok(None)

    def _seal_segment(
        self, number: int
    ) -> StoreSteps[Result[tuple[Segment, bool], Failure]]:
        """Seal a segment if it is open; the flag marks the last segment."""
        key = segment_key(self.shard, number)
        while True:
            reply = yield Get(key)
            if isinstance(reply, Err):
                return reply
            found: Versioned = reply.ok_value
            parsed = self._parse_found(found)
            if isinstance(parsed, Err):
                return parsed
            segment = parsed.ok_value
            if self._has_higher_epoch(segment):
                return Err(OwnershipLost(f"{key} belongs to a higher epoch"))
            if segment.sealed_by == self.epoch:
                return Ok((segment, True))
            if segment.sealed_by:
                return Ok((segment, False))
            sealed = segment.sealed(self.epoch)
            written = yield Put(key, sealed.text(), found.version)
            if isinstance(written, Ok):
                return Ok((sealed, True))
            if isinstance(written.err_value, KeyValueUnavailable):
                return written

    def _parse_found(
        self, found: Versioned
    ) -> Result[Segment, InvalidSegment]:
        if found.version == 0:
            return Ok(Segment(self.epoch))
        return Segment.parse(found.value)

    def _has_higher_epoch(self, segment: Segment) -> bool:
        return max(segment.epoch, segment.sealed_by) > self.epoch

    def _roll_over(self) -> StoreSteps[Result[None, OwnershipLost]]:
        """Seal the full segment; the next write creates a new one."""
        sealed = self._segment.sealed(self.epoch)
        written = yield from self._write(
            sealed, lambda s: s.sealed_by == self.epoch
        )
        if isinstance(written, Err):
            return written
        self.segment_number += 1
        self._segment = Segment(self.epoch)
        self._segment_version = 0
        return Ok(None)

    def _write(
        self, value: Segment, is_own_write: Any
    ) -> StoreSteps[Result[None, Any]]:
        key = segment_key(self.shard, self.segment_number)
        while True:
            reply = yield Put(key, value.text(), self._segment_version)
            if isinstance(reply, Err):
                reply = yield from self._resolve_write(
                    key, is_own_write, reply.err_value
                )
            if reply is None:
                continue
            if isinstance(reply, Err):
                return reply
            self._segment = value
            self._segment_version = reply.ok_value
            return Ok(None)

    def _resolve_write(
        self, key: str, is_own_write: Any, failure: Failure
    ) -> StoreSteps[Result[int, OwnershipLost] | None]:
        """Read back a write that was not confirmed; ``None``: write again."""
        if isinstance(failure, KeyValueUnavailable):
            return None
        reply = yield Get(key)
        while isinstance(reply, Err):
            reply = yield Get(key)
        found: Versioned = reply.ok_value
        if found.version == self._segment_version:
            return None
        parsed = self._parse_found(found)
        if isinstance(parsed, Ok) and is_own_write(parsed.ok_value):
            segment = parsed.ok_value
            if not self._has_higher_epoch(segment):
                return Ok(found.version)
        return Err(OwnershipLost(f"{key} was written by another owner"))
