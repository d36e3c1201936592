"""Protocol by which an owner takes a shard and appends to its log.

Each step is a generator that yields one call to the key-value service and
receives its result. A daemon drives it with a real client; tests drive it call
by call and put faults between any two.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import replace
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.state.heads import Head, head_key, lease_key, segment_key
from gooseberrypost.state.segments import InvalidSegment, LogRecord, Segment
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueUnavailable,
    Versioned,
)


class Deposed(Failure):
    """Another owner has taken the shard with a higher epoch."""

    code = "deposed"


class StillHeld(Failure):
    """The shard's owner has a live lease."""

    code = "still_held"


class Get(NamedTuple):
    """Read a key."""

    key: str


class Put(NamedTuple):
    """Compare-and-swap a key."""

    key: str
    value: str
    expect_version: int


class Delete(NamedTuple):
    """Delete a key at a version."""

    key: str
    expect_version: int


StoreCall = Get | Put | Delete
T = TypeVar("T")
Steps = Generator[StoreCall, Result[Any, Failure], T]


class ShardLog:
    """One owner's hold on the log of one shard."""

    def __init__(
        self,
        shard: int,
        name: str,
        address: str,
        incarnation: int,
        segment_bytes: int,
    ) -> None:
        self.shard = shard
        self.head = Head()
        self.number = 0
        """Segment that the next batch goes to."""
        self.replayed: list[LogRecord] = []
        """Records of former owners, in order; set by ``take``."""
        self._me = Head(name, address, incarnation)
        self._segment_bytes = segment_bytes
        self._head_version = 0
        self._segment = Segment(0)
        self._version = 0
        self._batches = 0

    @property
    def epoch(self) -> int:
        """Epoch of this hold."""
        return self.head.epoch

    def take(self) -> Steps[Result[None, Failure]]:
        """Take a free shard: write the head, seal the log, collect it.

        The head is read before the owner's lease key. An owner that regains
        its lease writes the lease key before the head, so that one of the two
        compare-and-swaps fails. Fails with ``StillHeld``, ``Conflict``,
        ``Deposed`` or a failure of the store; then the next try starts anew
        with a higher epoch.
        """
        read = yield from self._read_head()
        if isinstance(read, Err):
            return read
        found, former = read.ok_value
        free = yield from self._check_free(former)
        if isinstance(free, Err):
            return free
        target = replace(
            self._me, epoch=former.epoch + 1, segment=former.segment
        )
        written = yield from self._swap_head(target, found.version)
        if isinstance(written, Err):
            return written
        return (yield from self._seal())

    def reaffirm(self) -> Steps[Result[None, Failure]]:
        """Write the head again after the lease was granted anew.

        ``Conflict`` means that a successor has taken the shard.
        """
        target = replace(self.head, renewal=self.head.renewal + 1)
        return (yield from self._swap_head(target, self._head_version))

    def release(self) -> Steps[Result[None, Failure]]:
        """Give the shard up, so that a successor needs no lapse of a lease."""
        target = replace(self.head, name="", address="", incarnation=0)
        return (yield from self._swap_head(target, self._head_version))

    def trim(self, first: int) -> Steps[Result[None, Failure]]:
        """Drop the segments before ``first``; the head is written first."""
        old = range(self.head.segment, min(first, self.number))
        target = replace(self.head, segment=old.stop)
        written = yield from self._swap_head(target, self._head_version)
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
    ) -> Steps[Result[None, Deposed]]:
        """Append one batch; returns when it is confirmed or ``Deposed``.

        The same value is written until a read shows it or shows another
        owner. A different value would lose a batch that arrives late.
        """
        self._batches += 1
        batch = f"{self.epoch}.{self._batches}"
        grown = self._segment.with_batch(batch, records)
        if self._segment.lines and grown.size_bytes() > self._segment_bytes:
            rolled = yield from self._roll()
            if isinstance(rolled, Err):
                return rolled
            grown = self._segment.with_batch(batch, records)
        return (yield from self._write(grown, lambda s: s.has_batch(batch)))

    def _read_head(self) -> Steps[Result[tuple[Versioned, Head], Failure]]:
        reply = yield Get(head_key(self.shard))
        if isinstance(reply, Err):
            return reply
        found: Versioned = reply.ok_value
        return Head.parse(found.value).map(lambda head: (found, head))

    def _check_free(self, former: Head) -> Steps[Result[None, Failure]]:
        if not former.name or former.incarnation == self._me.incarnation:
            return Ok(None)
        reply = yield Get(lease_key(former.name, former.incarnation))
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.version:
            return Err(StillHeld(f"shard {self.shard}: {former.name}"))
        return Ok(None)

    def _swap_head(
        self, target: Head, version: int
    ) -> Steps[Result[None, Failure]]:
        """Write the head; a lost answer is settled by reading back."""
        key = head_key(self.shard)
        reply = yield Put(key, target.text(), version)
        while not isinstance(reply, Ok):
            if isinstance(reply.err_value, KeyValueUnavailable):
                return reply
            found = yield Get(key)
            if isinstance(found, Err):
                reply = found
                # The write may have taken effect, so no other failure than
                # an unknown outcome can be returned from here on.
                return Err(reply.err_value)
            if found.ok_value.value == target.text():
                reply = Ok(found.ok_value.version)
            elif found.ok_value.version != version:
                return Err(Conflict(f"{key} was taken"))
            else:
                reply = yield Put(key, target.text(), version)
        self.head = target
        self._head_version = reply.ok_value
        return Ok(None)

    def _seal(self) -> Steps[Result[None, Failure]]:
        """Walk the log to its open end, seal that, and collect all records.

        An absent next segment is created sealed: a former owner that sealed
        its segment to roll then fails to create it.
        """
        records: list[LogRecord] = []
        number = self.head.segment
        while True:
            step = yield from self._seal_one(number)
            if isinstance(step, Err):
                return step
            segment, is_last = step.ok_value
            records.extend(segment.records())
            number += 1
            if is_last:
                break
        self.replayed = records
        self.number = number
        self._segment = Segment(self.epoch)
        self._version = 0
        return Ok(None)

    def _seal_one(
        self, number: int
    ) -> Steps[Result[tuple[Segment, bool], Failure]]:
        """Seal a segment; the flag says whether it was the last one."""
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
            if self._is_newer(segment):
                return Err(Deposed(f"{key}: sealed by a higher epoch"))
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

    def _is_newer(self, segment: Segment) -> bool:
        return max(segment.epoch, segment.sealed_by) > self.epoch

    def _roll(self) -> Steps[Result[None, Deposed]]:
        """Seal the full segment; the next write creates its successor."""
        sealed = self._segment.sealed(self.epoch)
        written = yield from self._write(
            sealed, lambda s: s.sealed_by == self.epoch
        )
        if isinstance(written, Err):
            return written
        self.number += 1
        self._segment = Segment(self.epoch)
        self._version = 0
        return Ok(None)

    def _write(self, value: Segment, is_mine: Any) -> Steps[Result[None, Any]]:
        key = segment_key(self.shard, self.number)
        while True:
            reply = yield Put(key, value.text(), self._version)
            if isinstance(reply, Err):
                reply = yield from self._settle(key, is_mine, reply.err_value)
            if reply is None:
                continue
            if isinstance(reply, Err):
                return reply
            self._segment = value
            self._version = reply.ok_value
            return Ok(None)

    def _settle(
        self, key: str, is_mine: Any, failure: Failure
    ) -> Steps[Result[int, Deposed] | None]:
        """Read back a write without a clear answer; ``None``: write again."""
        if isinstance(failure, KeyValueUnavailable):
            return None
        reply = yield Get(key)
        while isinstance(reply, Err):
            reply = yield Get(key)
        found: Versioned = reply.ok_value
        if found.version == self._version:
            return None
        parsed = self._parse_found(found)
        if isinstance(parsed, Ok) and is_mine(parsed.ok_value):
            segment = parsed.ok_value
            if not self._is_newer(segment):
                return Ok(found.version)
        return Err(Deposed(f"{key} was written by another owner"))
