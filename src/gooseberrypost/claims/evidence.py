"""Crash evidence that claim owners share under ``claims/evidence``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.policy.quarantine import Evidence, Suspicion
from gooseberrypost.stores.keyvalue import Conflict, KeyValueUnknown

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from gooseberrypost.errors import Failure
    from gooseberrypost.policy.suspects import Suspect
    from gooseberrypost.stores.keyvalue import KeyValueStore

EVIDENCE_KEY: Final = "claims/evidence"


class EvidenceStore:
    """Evidence in memory, merged into the stored value by compare-and-swap."""

    def __init__(
        self, store: KeyValueStore, wall_ms: Callable[[], int]
    ) -> None:
        self.evidence = Evidence()
        self._store = store
        self._wall_ms = wall_ms
        self._lock = asyncio.Lock()

    def suspicion(self, digest: bytes) -> Suspicion:
        """Suspicion of a content digest by the evidence in memory."""
        return self.evidence.verdict(digest.hex())

    def is_convicted(self, digest: bytes, parts: Iterable[bytes]) -> bool:
        """Whether a request, or parts of its prompt, crash servers."""
        digests = {digest.hex(), *(part.hex() for part in parts)}
        return self.evidence.find_conviction(digests) is not None

    def record_answer(self, parts: Iterable[bytes]) -> None:
        """Clear the parts of a prompt that was answered completely."""
        self.evidence.clear_parts([p.hex() for p in parts], self._wall_ms())

    def report(
        self, crash: str, server: str, suspects: Mapping[bytes, Suspect]
    ) -> None:
        """Add a crash to the evidence in memory."""
        running = {digest.hex(): s for digest, s in suspects.items()}
        convicted = set(self.evidence.convicted)
        if not self.evidence.report(crash, running, self._wall_ms()):
            return
        logging.info(
            "event=crash_reported crash=%s server=%s running=%d convicted=%s",
            crash,
            server,
            len(running),
            ",".join(self.evidence.convicted.keys() - convicted),
        )

    async def sync(self) -> Result[None, Failure]:
        """Merge the stored evidence with that in memory, both ways."""
        async with self._lock:
            while True:
                synced = await self._sync_once()
                if isinstance(synced, Ok):
                    return synced
                retry = (Conflict, KeyValueUnknown)
                if not isinstance(synced.err_value, retry):
                    return synced
                if isinstance(synced.err_value, KeyValueUnknown):
                    # The next read shows whether the write took effect.
                    await asyncio.sleep(0.05)

    async def _sync_once(self) -> Result[None, Failure]:
        read = await self._store.get(EVIDENCE_KEY)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        parsed = Evidence.parse(found.value)
        if isinstance(parsed, Err):
            return parsed
        stored = parsed.ok_value
        now_ms = self._wall_ms()
        self.evidence.merge(stored, now_ms)
        self.evidence.expire(now_ms)
        if stored.covers(self.evidence):
            return Ok(None)
        written = await self._store.put(
            EVIDENCE_KEY, self.evidence.text(), found.version
        )
        return written.map(lambda version: None)
