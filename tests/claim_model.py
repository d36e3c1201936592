"""Model of claim owners, entries and a key-value service.

The calls of the owners to the key-value service run one at a time, so that a
test can inject a fault between any two of them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.state.claim import Decision, GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.state.heads import lease_key
from gooseberrypost.state.shard_log import Get, Put, ShardLog
from gooseberrypost.state.trace import Event, EventKind, TraceChecker
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueUnavailable,
    KeyValueUnknown,
    Versioned,
)

SEGMENT_BYTES = 600
DEADLINE_MS = 1_000


class Values:
    """Key-value service; each write increments the version of its key."""

    def __init__(self) -> None:
        self.values: dict[str, Versioned] = {}

    def call(self, call: Any) -> Any:
        found = self.values.get(call.key, Versioned("", 0))
        if isinstance(call, Get):
            return Ok(found)
        if call.expect_version != found.version:
            return Err(Conflict(call.key))
        if isinstance(call, Put):
            written = Versioned(call.value, found.version + 1)
            self.values[call.key] = written
            return Ok(written.version)
        self.values.pop(call.key, None)
        return Ok(None)


@dataclass
class Run:
    """Grant that an entry has received."""

    entry: str
    request: GrantRequest
    attempt: int
    executed: bool = False
    ran: bool = False
    """This or a renewed attempt was executed."""
    completing: bool = False
    """A completion was sent, so the attempt must not be renewed."""
    ended: bool = False
    """Answered or abandoned; nothing more is sent to the caller."""


@dataclass
class Waiting:
    """Decision that is not sent until the log confirms it."""

    request: GrantRequest
    entry: str
    decision: Decision
    run: Run | None = None
    """Run that this decision completes; ``None`` for a claim."""


@dataclass
class Node:
    """Process that can own the shard."""

    name: str
    incarnation: int
    log: Any = None
    claims: ShardClaims | None = None
    steps: Any = None
    call: Any = None
    batch: int = 0
    purpose: str = ""
    holds_lease: bool = False
    waiting: list[Waiting] = field(default_factory=list)


class Model:
    """Model in which each mechanism can be switched off or replaced.

    A test does so to show which violation the mechanism prevents.
    """

    def __init__(
        self,
        log_class: type[ShardLog] = ShardLog,
        claims_class: type[ShardClaims] = ShardClaims,
        confirms: bool = True,
        completes_first: bool = True,
        requires_lease: bool = True,
    ) -> None:
        self.log_class = log_class
        self.claims_class = claims_class
        self.confirms = confirms
        self.completes_first = completes_first
        self.requires_lease = requires_lease
        self.store = Values()
        self.late: list[Any] = []
        """Delayed writes, reported to the sender as of unknown outcome."""
        self.nodes = {name: Node(name, n + 1) for n, name in enumerate("AB")}
        self.runs: list[Run] = []
        self.checker = TraceChecker()
        self.rng = random.Random(5)
        self.now_ms = 0

    def grant_lease(self, name: str) -> None:
        node = self.nodes[name]
        key = lease_key(name, node.incarnation)
        self.store.values.setdefault(key, Versioned("1", 1))
        if node.claims is None:
            node.holds_lease = True
        elif not node.steps:
            self._start(node, "rewrite_head", node.log.rewrite_head())

    def lapse(self, name: str) -> None:
        """Let the lease lapse; its holder stops relying on it first."""
        node = self.nodes[name]
        node.holds_lease = False
        self.store.values.pop(lease_key(name, node.incarnation), None)

    def kill(self, name: str) -> None:
        old = self.nodes[name]
        self.lapse(name)
        self.nodes[name] = Node(name, old.incarnation + 10)

    def acquire(self, name: str) -> None:
        node = self.nodes[name]
        if node.claims is None and node.steps is None and node.holds_lease:
            node.log = self.log_class(
                0, name, name, node.incarnation, SEGMENT_BYTES
            )
            self._start(node, "acquire", node.log.acquire())

    def write(self, name: str) -> None:
        node = self.nodes[name]
        if node.claims is None or node.steps or not node.claims.outbox:
            return
        batch = node.claims.take_outbox()
        node.batch = len(batch)
        self._start(node, "append", node.log.append(batch))

    def step(self, name: str, fault: str = "") -> None:
        """Perform the node's next call to the key-value service.

        Faults are ``down`` (not sent), ``late`` (delayed) and ``lost`` (reply
        lost).
        """
        node = self.nodes[name]
        if node.steps is None:
            return
        call, reply = node.call, None
        if fault == "down":
            reply = Err(KeyValueUnavailable(""))
        elif fault == "late" and isinstance(call, Put):
            self.late.append(call)
            reply = Err(KeyValueUnknown(""))
        else:
            reply = self.store.call(call)
            if fault == "lost":
                lost_write = isinstance(call, Put)
                kind = KeyValueUnknown if lost_write else KeyValueUnavailable
                reply = Err(kind(""))
        self._advance(node, lambda: node.steps.send(reply))

    def deliver_late(self, index: int = 0) -> None:
        """Deliver a delayed write that its sender no longer waits for."""
        if self.late:
            self.store.call(self.late.pop(index % len(self.late)))

    def run_until_idle(self, name: str) -> None:
        """Run the node without faults until it is idle."""
        for _ in range(200):
            if self.nodes[name].steps is None:
                self.write(name)
            self.step(name)

    def owner(self, name: str) -> Node:
        """Give a node its lease and the shard."""
        self.grant_lease(name)
        self.acquire(name)
        self.run_until_idle(name)
        return self.nodes[name]

    def _start(self, node: Node, purpose: str, steps: Any) -> None:
        node.purpose, node.steps = purpose, steps
        self._advance(node, lambda: next(steps))

    def _advance(self, node: Node, resume: Any) -> None:
        try:
            node.call = resume()
        except StopIteration as stop:
            node.steps = node.call = None
            self._finish(node, stop.value)

    def _finish(self, node: Node, result: Any) -> None:
        is_ok = isinstance(result, Ok)
        match node.purpose:
            case "acquire" if is_ok:
                node.claims = self.claims_class(0, node.log.epoch)
                node.claims.replay(node.log.replayed_records, self.now_ms)
            case "rewrite_head" if is_ok:
                key = lease_key(node.name, node.incarnation)
                node.holds_lease = key in self.store.values
            case "append" if is_ok:
                node.claims.confirm(node.batch)
                self._send_confirmed(node)
            case "append" | "rewrite_head":
                if not isinstance(result.err_value, KeyValueUnavailable):
                    node.claims, node.waiting = None, []

    def claim(
        self, name: str, entry: str, request: GrantRequest
    ) -> Verdict | None:
        """Send a claim to a node.

        The decision is returned at once, or sent when the log confirms it.
        """
        node = self.nodes[name]
        if node.claims is None:
            return None
        decision = node.claims.claim(request, entry, self.now_ms)
        if decision.verdict is Verdict.GRANTED and not self.confirms:
            decision = decision._replace(required_sequence=0)
        waiting = Waiting(request, entry, decision)
        if not node.claims.is_confirmed(decision):
            node.waiting.append(waiting)
            return None
        return self._send(node, waiting)

    def time_out_grants(self, name: str) -> None:
        """Time out the wait of every unconfirmed grant of a node."""
        node = self.nodes[name]
        waiting, node.waiting = node.waiting, []
        for item in waiting:
            if item.run or item.decision.verdict is not Verdict.GRANTED:
                continue
            verdict = node.claims.withdraw(
                item.request.key, item.decision.attempt, self.now_ms
            )
            if verdict is Verdict.UNAVAILABLE:
                self._record_not_run(node, item.request)

    def lose_entry(self, entry: str) -> None:
        """Close the entry's connections; a paused entry may resume later."""
        for node in self.nodes.values():
            if node.claims is not None:
                node.claims.holder_disconnected(entry, self.now_ms)

    def wait(self, time_ms: int) -> None:
        self.now_ms += time_ms
        for node in self.nodes.values():
            if node.claims is not None:
                node.claims.tick(self.now_ms)

    def execute(self, run: Run) -> None:
        if not run.executed and not run.ended:
            run.executed = run.ran = True
            self._record(EventKind.EXECUTED, run.request, attempt=run.attempt)

    def abandon(self, name: str, run: Run) -> None:
        """Abandon a run; an entry that ran no attempt reports "not run"."""
        node = self.nodes[name]
        if not run.ended and node.claims is not None:
            run.ended = True
            node.claims.abandon(
                run.request.key, run.attempt, not run.ran, self.now_ms
            )

    def renew(self, name: str, run: Run) -> None:
        node = self.nodes[name]
        if run.ended or run.completing or not run.request.idempotent:
            return
        if node.claims is None:
            return
        decision = node.claims.renew(run.request.key, run.attempt, self.now_ms)
        if decision.verdict is Verdict.GRANTED:
            run.attempt = decision.attempt
            run.executed = False

    def complete(self, name: str, run: Run) -> None:
        """Send a completion; the entry answers once it is confirmed."""
        node = self.nodes[name]
        if not self.completes_first:
            self._answer(run)
        if not run.executed or node.claims is None:
            return
        run.completing = True
        answer = StoredAnswer(200, self._body(run), "")
        decision = node.claims.complete(
            run.request.key, run.attempt, answer, self.now_ms
        )
        if decision.verdict is not Verdict.GRANTED:
            run.ended = True
            return
        waiting = Waiting(run.request, run.entry, decision, run)
        if node.claims.is_confirmed(decision):
            self._send(node, waiting)
        else:
            node.waiting.append(waiting)

    def _send_confirmed(self, node: Node) -> None:
        waiting, node.waiting = node.waiting, []
        for item in waiting:
            if node.claims.is_confirmed(item.decision):
                self._send(node, item)
            else:
                node.waiting.append(item)

    def _send(self, node: Node, item: Waiting) -> Verdict:
        request, decision = item.request, item.decision
        verdict = decision.verdict
        if item.run is not None:
            self._answer(item.run)
        elif verdict is Verdict.GRANTED:
            if node.claims.mark_grant_sent(request.key, decision.attempt):
                self.runs.append(Run(item.entry, request, decision.attempt))
        elif verdict is Verdict.KEY_REUSED:
            self._record(EventKind.NOT_RUN, request)
        elif verdict is Verdict.COMPLETED and decision.answer is not None:
            self._record(
                EventKind.REPLAYED, request, body=decision.answer.body
            )
        return verdict

    def _record_not_run(self, node: Node, request: GrantRequest) -> None:
        if node.holds_lease or not self.requires_lease:
            self._record(EventKind.NOT_RUN, request)

    def _answer(self, run: Run) -> None:
        if not run.ended:
            run.ended = True
            body = self._body(run)
            self._record(EventKind.ANSWERED, run.request, run.attempt, body)

    def _body(self, run: Run) -> bytes:
        return f"{run.entry} {run.attempt}".encode()

    def _record(
        self,
        kind: EventKind,
        request: GrantRequest,
        attempt: int = 0,
        body: bytes = b"",
    ) -> None:
        self.checker.add(
            Event(
                kind,
                request.key,
                request.digest,
                attempt,
                request.idempotent,
                body,
            )
        )
