"""Changes ``config/head`` by compare-and-swap and settles lost answers."""

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

    Check = Callable[[Mapping[str, Record]], InconsistentRecords | None]

TIMEOUT_MS: Final = 10_000
RETRY_MS: Final = 50
MAX_RETRY_MS: Final = 1_000


class ApplyUnknown(UnknownOutcome):
    """A write was sent and could not be read back in time.

    Applying again with the same apply id settles it.
    """

    code = "apply_unknown"


class Accepted(NamedTuple):
    """A change that is durable in the key-value service."""

    version: int
    """Version that made the change; others may have followed."""
    document: Document
    """Newest document read, which contains the change."""


class Applier:
    """Applies one operator's change."""

    def __init__(
        self,
        store: KeyValueStore,
        check: Check | None = None,
        *,
        timeout_ms: int = TIMEOUT_MS,
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
        """Write the changes; ``base`` defaults to the head first read.

        Fails with ``Collision``, ``UnknownBaseVersion``,
        ``ConfigurationTooLarge`` or what ``check`` found when nothing was
        written, and with ``ApplyUnknown`` when the fate of a write was not
        settled in time.
        """
        attempt = _Attempt(changes, apply_id, base)
        until_ms = self._clock() + self._timeout_ms
        delay_ms = RETRY_MS
        while True:
            outcome = await self._try(attempt)
            if outcome is not None:
                return outcome
            if self._clock() >= until_ms:
                return Err(attempt.failure())
            await self._sleep(self._rng.uniform(0, delay_ms) / 1_000)
            delay_ms = min(2 * delay_ms, MAX_RETRY_MS)

    async def _try(
        self, attempt: _Attempt
    ) -> Result[Accepted, Failure] | None:
        """Read, decide and write once; ``None``: not settled yet."""
        read = await self._store.get(HEAD_KEY)
        if isinstance(read, Err):
            attempt.last = read.err_value
            return None
        return await self._write(attempt, read.ok_value)

    async def _write(
        self, attempt: _Attempt, head: Versioned
    ) -> Result[Accepted, Failure] | None:
        proposed = attempt.propose(head, self._check)
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
                # The write may have taken effect: the next read decides.
                attempt.sent_version = document.version
                attempt.sent_over = head.version
                attempt.last = failure
                return None
            case Err(Conflict() | KeyValueUnavailable() as failure):
                attempt.last = failure
                return None
            case Err(failure):
                return Err(failure)


class _Attempt:
    """One change and what is known of its writes."""

    def __init__(
        self,
        changes: Mapping[str, Record | None],
        apply_id: str,
        base: Document | None,
    ) -> None:
        self.sent_version = 0
        """Version of the last write whose answer was lost; 0: none."""
        self.sent_over = 0
        """Version of the value that this write was to replace."""
        self.last: Failure = KeyValueUnavailable("not tried")
        self._changes = changes
        self._apply_id = apply_id
        self._base = base

    def propose(
        self,
        head: Versioned,
        check: Check | None,
    ) -> Result[Document | Accepted, Failure]:
        """Next document, or ``Accepted`` when the head has the change."""
        parsed = parse_head(head.value)
        if isinstance(parsed, Err):
            return parsed
        current = parsed.ok_value
        version = current.version_of_apply(self._apply_id)
        if version is not None:
            return Ok(Accepted(version, current))
        # Beyond the ids kept, absence proves nothing.
        if self.sent_version and (
            current.version - self.sent_version >= MAX_APPLIED_CHANGES
        ):
            return Err(self.failure())
        if head.version != self.sent_over:
            # The value was replaced without this change, so a late arrival
            # of the lost write conflicts and can no longer take effect.
            self.sent_version = 0
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
        return Err(self._blame(failure, self._base, check))

    def _blame(
        self, failure: InconsistentRecords, base: Document, check: Check
    ) -> Failure:
        """Collision, where the change would be consistent on its base."""
        alone = base.propose(base, self._changes, self._apply_id)
        if isinstance(alone, Ok) and not check(alone.ok_value.records()):
            return Collision(failure.rows)
        return failure

    def failure(self) -> Failure:
        """Failure that tells no more than is known."""
        if self.sent_version:
            return ApplyUnknown(
                f"apply id {self._apply_id}: {self.last}; "
                "apply again with this id to settle it"
            )
        return self.last
