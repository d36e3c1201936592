"""Operations of a claim owner on the shards that it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from gooseberrypost.claims.holders import Holder
from gooseberrypost.claims.shard import ClaimResult, NotOwner, OwnedShard
from gooseberrypost.identity import shard_of
from gooseberrypost.state.claim import (
    UNKNOWN_CONTENT,
    GrantRequest,
    RenewedContent,
    Verdict,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.claims.client import StoredAnswer
    from gooseberrypost.claims.section import ClaimsSection
    from gooseberrypost.errors import Failure
    from gooseberrypost.settings.entry import EntrySettings


class ClaimOperations:
    """Claim operations, called by peers and by this entry's own client."""

    cfg: EntrySettings
    rng: random.Random
    address: str
    incarnation: int
    section: ClaimsSection
    outage_policy: Callable[[str], str]

    @property
    def holder(self) -> str:
        """Identity of this process as a holder of claims."""
        return str(Holder(self.cfg.name, self.incarnation, self.address))

    def shard_for(self, key: str) -> OwnedShard | None:
        """Shard of a key; ``None`` if this entry does not own it."""
        return self.section.shards.get(shard_of(key, self.cfg.claims.shards))

    def owner_address(self, key: str) -> str:
        """Address of the last known owner of a key's shard, or empty."""
        head = self.section.heads.get(shard_of(key, self.cfg.claims.shards))
        return head.address if head is not None else ""

    def mint(self) -> str | None:
        """Mint a key of an owned shard; ``None`` if there is none."""
        shards = list(self.section.shards.values())
        if not shards:
            return None
        return self.rng.choice(shards).claims.mint(self.rng)

    async def claim(
        self, request: GrantRequest, service: str, holder: str, wait_ms: int
    ) -> ClaimResult:
        """Decide a claim; ``NOT_OWNER`` if the shard is not owned."""
        shard = self.shard_for(request.key)
        if shard is None:
            return ClaimResult(Verdict.NOT_OWNER)
        keep_in_memory = self.outage_policy(service) == "memory"
        return await shard.claim(request, holder, wait_ms, keep_in_memory)

    async def renew(
        self, key: str, attempt: int, content: RenewedContent = UNKNOWN_CONTENT
    ) -> ClaimResult:
        """Supersede an attempt by the next one of the same holder."""
        shard = self.shard_for(key)
        if shard is None:
            return ClaimResult(Verdict.NOT_OWNER)
        return await shard.renew(key, attempt, content)

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record an answer; ``NotOwner`` if the shard is not owned."""
        shard = self.shard_for(key)
        if shard is None:
            return Err(NotOwner(key))
        return await shard.complete(key, attempt, answer)
