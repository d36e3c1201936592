"""What a claim owner answers from the shards that it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from gooseberrypost.claims.holders import Holder
from gooseberrypost.claims.shard import HeldShard, Judgement, NotOwner
from gooseberrypost.identity import shard_of
from gooseberrypost.state.claim import GrantRequest, Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.claims.client import StoredAnswer
    from gooseberrypost.claims.section import ClaimsSection
    from gooseberrypost.errors import Failure
    from gooseberrypost.settings.entry import EntrySettings


class ClaimServing:
    """Calls on keys, for peers and for this entry's own client."""

    cfg: EntrySettings
    rng: random.Random
    address: str
    incarnation: int
    section: ClaimsSection
    outage_policy: Callable[[str], str]

    @property
    def holder(self) -> str:
        """This process as the holder of claims."""
        return str(Holder(self.cfg.name, self.incarnation, self.address))

    def shard_for(self, key: str) -> HeldShard | None:
        """Shard that judges a key, if this entry holds it."""
        return self.section.shards.get(shard_of(key, self.cfg.claims.shards))

    def owner_address(self, key: str) -> str:
        """Last known owner of a key's shard; empty if unknown."""
        head = self.section.heads.get(shard_of(key, self.cfg.claims.shards))
        return head.address if head is not None else ""

    def mint(self) -> str | None:
        """Make a key of a shard held here."""
        shards = list(self.section.shards.values())
        if not shards:
            return None
        return self.rng.choice(shards).claims.mint(self.rng)

    async def claim(
        self, ask: GrantRequest, service: str, holder: str, wait_ms: int
    ) -> Judgement:
        """Judge a claim, here or ``NOT_OWNER``."""
        shard = self.shard_for(ask.key)
        if shard is None:
            return Judgement(Verdict.NOT_OWNER)
        memory = self.outage_policy(service) == "memory"
        return await shard.claim(ask, holder, wait_ms, memory)

    def renew(self, key: str, attempt: int) -> Judgement:
        """Replace an attempt by the next one."""
        shard = self.shard_for(key)
        if shard is None:
            return Judgement(Verdict.NOT_OWNER)
        return shard.renew(key, attempt)

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record an answer; ``NotOwner`` where another entry judges it."""
        shard = self.shard_for(key)
        if shard is None:
            return Err(NotOwner(key))
        return await shard.complete(key, attempt, answer)
