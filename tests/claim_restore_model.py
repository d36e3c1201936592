"""Model in which the key-value service comes back from an older copy."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

from result import Ok

from gooseberrypost.claims._memories import ShardMemory
from gooseberrypost.state.shard_log import Put, ShardLog, find_tail
from gooseberrypost.stores.keyvalue import KeyValueUnavailable
from tests.claim_model import SEGMENT_BYTES, Model, Node


class RestorableModel(Model):
    """Two processes that keep running and can always ask each other.

    With ``remembers`` off, a deposed owner forgets its claims. With ``asks``
    off, a new owner asks nobody.
    """

    def __init__(
        self, remembers: bool = True, asks: bool = True, **mechanisms
    ) -> None:
        super().__init__(**mechanisms)
        self.remembers = remembers
        self.asks = asks
        self.memories: dict[str, ShardMemory] = {}
        self.known_epochs: Counter[str] = Counter()
        self.copies: list[dict] = []

    def take_copy(self) -> None:
        self.copies.append(dict(self.store.values))

    def restore(self, index: int = 0) -> None:
        if self.copies:
            copy = self.copies[index % len(self.copies)]
            self.store.values = dict(copy)

    def acquire(self, name: str) -> None:
        node = self.nodes[name]
        if node.claims is None and node.steps is None and node.holds_lease:
            node.log = ShardLog(0, name, name, node.incarnation, SEGMENT_BYTES)
            known = self.known_epochs[name]
            self._start(node, "acquire", node.log.acquire(known))

    def verify(self, name: str) -> None:
        node = self.nodes[name]
        if node.claims and not node.steps and not node.claims.unconfirmed:
            self._start(node, "verify", node.log.verify())

    def forget(self, name: str) -> None:
        """Drop a memory that is in the log of another owner."""
        memory = self.memories.get(name)
        other = self._other(name)
        if memory is None or other.claims is None:
            return
        steps = find_tail(0, memory.tail)
        try:
            steps.send(self.store.call(next(steps)))
        except StopIteration as stop:
            if stop.value == Ok(True):
                del self.memories[name]

    def _other(self, name: str) -> Node:
        return next(n for n in self.nodes.values() if n.name != name)

    def _finish(self, node, result) -> None:
        if node.purpose == "acquire":
            if isinstance(result, Ok):
                self._take_over(node)
            return
        former = node.claims
        if node.purpose == "verify":
            is_lost = not isinstance(result, Ok) and not isinstance(
                result.err_value, KeyValueUnavailable
            )
            if is_lost:
                node.claims, node.waiting = None, []
        else:
            super()._finish(node, result)
        if former is not None and node.claims is None:
            self._remember(node, former)

    def _remember(self, node: Node, claims) -> None:
        self.known_epochs[node.name] = max(
            self.known_epochs[node.name], node.log.epoch
        )
        if self.remembers:
            lost = SimpleNamespace(log=node.log, claims=claims)
            self.memories[node.name] = ShardMemory(lost, self.now_ms)

    def _take_over(self, node: Node) -> None:
        other = self._other(node.name)
        epoch = node.log.epoch
        self.known_epochs[node.name] = epoch
        memories = [self.memories.get(node.name)]
        if self.asks:
            serving = other.log.epoch if other.claims is not None else 0
            known = max(serving, self.known_epochs[other.name])
            if known >= epoch:
                self.known_epochs[node.name] = known
                return
            if other.claims is not None:
                self._yield(other)
            memories.append(self.memories.get(other.name))
        node.claims = self.claims_class(0, epoch)
        node.claims.replay(node.log.replayed_records, self.now_ms)
        for memory in memories:
            lines = node.log.replayed_lines
            if memory is not None and not memory.is_in_log(lines):
                node.claims.merge(memory.records, self.now_ms)
        self.memories.pop(node.name, None)

    def _yield(self, node: Node) -> None:
        """Depose an owner; a write that it has sent may still arrive."""
        former, node.claims, node.waiting = node.claims, None, []
        self._remember(node, former)
        if isinstance(node.call, Put):
            self.late.append(node.call)
        node.steps = node.call = None
