"""Blackboard section of the claim owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.blackboard import Section

if TYPE_CHECKING:
    from gooseberrypost.claims.evidence import EvidenceStore
    from gooseberrypost.claims.shard import OwnedShard
    from gooseberrypost.state.heads import ShardHead


class ClaimsSection(Section):
    """Shards owned by this entry, and the last known head of each shard."""

    __slots__ = ("evidence", "heads", "shards")

    def __init__(self, evidence_store: EvidenceStore) -> None:
        super().__init__()
        self.shards: dict[int, OwnedShard] = {}
        self.heads: dict[int, ShardHead] = {}
        """Head of each shard, as last read or written."""
        self.evidence = evidence_store
