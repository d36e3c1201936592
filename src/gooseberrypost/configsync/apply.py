"""Applies configuration changes to ``config/head`` by compare-and-swap.

After a write whose response was lost, the head is read to determine whether
the write took effect.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import Failure, UnknownOutcome
from gooseberrypost.state.configuration import (
    HEAD_KEY,
    MAX_APPLIED_CHANGES,
    Collision,
    Document,
)
from gooseberrypost.state.document import format_document, parse_head
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueUnavailable,
    KeyValueUnknown,
    Versioned,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from gooseberrypost.configsync.check import InconsistentRecords
    from gooseberrypost.state.records import Record
    from gooseberrypost.stores.keyvalue import KeyValueStore

    RecordCheck = Callable[[Mapping[str, Record]], InconsistentRecords | None]

APPLY_TIMEOUT_MS: Final = 10_000
RETRY_MIN_MS: Final = 50
RETRY_MAX_MS: Final = 1_000


class ApplyUnknown(UnknownOutcome):
    """A write was sent, and whether it took effect was not known in time.

    Applying the change again with the same apply id resolves that.
    """

    code = "apply_unknown"


class Accepted(NamedTuple):
    """A change that is durable in the key-value service."""

    version: int
    """Version that introduced the change; the document may be newer."""
    document: Document
    """Newest document that was read; it contains the change."""


class Applier:
    """Applies configuration changes of an operator."""

    def __init__(
        self,
        store: KeyValueStore,
        check: RecordCheck | None = None,
        *,
        timeout_ms: int = APPLY_TIMEOUT_MS,
        rng: random.Random | None = None,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1_000_000,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._check = check
        self._timeout_ms = timeout_ms
        self._rng = rng or random.Random()
        self._clock = clock
        self._sleep = sleep

    async def apply(
        self,
        changes: Mapping[str, Record | None],
        apply_id: str,
        base: Document | None = None,
    ) -> Result[Accepted, Failure]:
        """Write the changes; ``base`` defaults to the first head that is read.

        Fails with ``ApplyUnknown`` if it was not known in time whether a
        write took effect. If nothing was written, fails with ``Collision``,
        ``UnknownBaseVersion``, ``ConfigurationTooLarge``, the failure that
        ``check`` returned or one of the key-value service.
        """
        pending = _PendingApply(changes, apply_id, base)
        end_ms = self._clock() + self._timeout_ms
        delay_ms = RETRY_MIN_MS
        while True:
            outcome = await self._try_once(pending)
            if outcome is not None:
                return outcome
            if self._clock() >= end_ms:
                return Err(pending.failure())
            await self._sleep(self._rng.uniform(0, delay_ms) / 1_000)
            delay_ms = min(2 * delay_ms, RETRY_MAX_MS)

    async def _try_once(
        self, pending: _PendingApply
    ) -> Result[Accepted, Failure] | None:
        """Read and write the head once; ``None``: try again."""
        read = await self._store.get(HEAD_KEY)
        if isinstance(read, Err):
            pending.last_failure = read.err_value
            return None
        return await self._write(pending, read.ok_value)

    async def _write(
        self, pending: _PendingApply, head: Versioned
    ) -> Result[Accepted, Failure] | None:
        proposed = pending.propose(head, self._check)
        if not isinstance(proposed, Ok):
            return proposed
        document = proposed.ok_value
        if isinstance(document, Accepted):
            return Ok(document)
        formatted = format_document(document)
        if isinstance(formatted, Err):
            return formatted
        written = await self._store.put(
            HEAD_KEY, formatted.ok_value, head.version
        )
        match written:
            case Ok(_):
                return Ok(Accepted(document.version, document))
            case Err(KeyValueUnknown() as failure):
                # The write may have taken effect; the next read shows it.
                pending.unconfirmed_version = document.version
                pending.unconfirmed_base = head.version
                pending.last_failure = failure
                return None
            case Err(Conflict() | KeyValueUnavailable() as failure):
                pending.last_failure = failure
                return None
            case Err(failure):
                return Err(failure)


class _PendingApply:
    """A change that is being applied, and the state of its last write."""

    def __init__(
        self,
        changes: Mapping[str, Record | None],
        apply_id: str,
        base: Document | None,
    ) -> None:
        self.unconfirmed_version = 0
        """Document version of the last write without a response; 0: none."""
        self.unconfirmed_base = 0
        """Key version that the unconfirmed write was to replace."""
        self.last_failure: Failure = KeyValueUnavailable("no call was made")
        self._changes = changes
        self._apply_id = apply_id
        self._base = base

    def propose(
        self,
        head: Versioned,
        check: RecordCheck | None,
    ) -> Result[Document | Accepted, Failure]:
        """Document to write, or ``Accepted`` if the head has the change."""
        parsed = parse_head(head.value)
        if isinstance(parsed, Err):
            return parsed
        current = parsed.ok_value
        version = current.version_of_apply(self._apply_id)
        if version is not None:
            return Ok(Accepted(version, current))
        # The head keeps the last ``MAX_APPLIED_CHANGES`` apply ids. After as
        # many versions, a missing id does not prove that the write had no
        # effect.
        if self.unconfirmed_version and (
            current.version - self.unconfirmed_version >= MAX_APPLIED_CHANGES
        ):
            return Err(self.failure())
        if head.version != self.unconfirmed_base:
            # Another write replaced the value, so the unconfirmed write
            # would conflict if it arrived late: it cannot take effect.
            self.unconfirmed_version = 0
        self._base = self._base or current
        proposed = current.propose(self._base, self._changes, self._apply_id)
        if isinstance(proposed, Err):
            return proposed
        document = proposed.ok_value
        if document is current:
            return Ok(Accepted(current.version, current))
        failure = check(document.records()) if check else None
        if failure is None:
            return Ok(document)
        return Err(self._classify_inconsistency(failure, self._base, check))

    def _classify_inconsistency(
        self, failure: InconsistentRecords, base: Document, check: RecordCheck
    ) -> Failure:
        """``Collision`` if the change is consistent on its own base."""
        on_base = base.propose(base, self._changes, self._apply_id)
        if isinstance(on_base, Ok) and not check(on_base.ok_value.records()):
            return Collision(failure.keys)
        return failure

    def failure(self) -> Failure:
        """``ApplyUnknown`` for an unconfirmed write, else the last failure."""
        if self.unconfirmed_version:
            return ApplyUnknown(
                f"apply id {self._apply_id}: {self.last_failure}; "
                "the change may have been written, apply it again with this id"
            )
        return self.last_failure
