"""Invariants of a chaos run, checked after its load and faults have ended.

The outcome ``not-run`` states that the key had not been executed when the
entry decided, at some time between the request and its reply. It is therefore
false if the key was executed before that request was sent, whatever the
outcome of an earlier request with the key. It does not rule out executions
due to a later or concurrent request with the key. Hence each execution needs
a request that was sent before it and did not get ``not-run``.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gooseberrypost.errors import Outcome
from gooseberrypost.state.trace import Event, EventKind, find_violations
from tests.scenarios.caller import Call, Completion
from tests.standins.engine import Engine
from tests.standins.plain import PlainService

if TYPE_CHECKING:
    from tests.scenarios.chaos import Chaos
    from tests.scenarios.chaos_traffic import SentRequest

OUTCOMES = {outcome.value for outcome in Outcome}
DEADLINE_GRACE_S = 5.0
"""Time after the deadline of a request in which its exchange must end."""


@dataclass(frozen=True)
class InvariantViolation:
    """A violated invariant, with the idempotency key concerned, if any."""

    rule: str
    detail: str
    key: str = ""


def check(chaos: Chaos) -> list[InvariantViolation]:
    """Check what callers received against what backend servers executed."""
    by_key: dict[str, list[SentRequest]] = defaultdict(list)
    for sent in chaos.traffic.sent_requests:
        if sent.name:
            by_key[sent.name].append(sent)
    runs = executions(chaos)
    violations = list(_check_exchanges(chaos))
    violations += _check_engines(chaos)
    for key, sent_requests in by_key.items():
        violations += _check_trace(key, sent_requests, runs[key])
        violations += _check_not_run(key, sent_requests, runs[key])
    return violations


def executions(chaos: Chaos) -> dict[str, list[float]]:
    """Return when plain services executed each key, in seconds."""
    found: dict[str, list[float]] = defaultdict(list)
    for server in chaos.cluster.servers.values():
        if isinstance(server, PlainService):
            for key, at_s in server.runs:
                found[key].append(at_s - chaos.started_s)
    return found


def _check_trace(
    key: str, sent_requests: list[SentRequest], runs: list[float]
) -> Iterator[InvariantViolation]:
    idempotent = sent_requests[0].idempotent
    timed = [
        (at_s, Event(EventKind.EXECUTED, key, idempotent=idempotent))
        for at_s in runs
    ]
    for sent in sent_requests:
        exchange = sent.exchange
        done = isinstance(exchange, Call) or exchange.done
        kind = {
            "completed": EventKind.ANSWERED,
            "duplicate": EventKind.REPLAYED,
        }.get(exchange.outcome or "")
        succeeded = exchange.status == 200 and done and not exchange.code
        if kind and succeeded and not sent.disconnected:
            body = exchange.body
            event = Event(kind, key, idempotent=idempotent, body=body)
            timed.append((sent.ended_s or 0.0, event))
    # A replay may reach its caller before the original answer does. The rules
    # checked here do not depend on the order of the two.
    timed.sort(key=lambda pair: pair[0])
    for violation in find_violations(event for _, event in timed):
        yield InvariantViolation(violation.rule, "see the trace", key)


def _check_not_run(
    key: str, sent_requests: list[SentRequest], runs: list[float]
) -> Iterator[InvariantViolation]:
    refused = [
        s for s in sent_requests if s.exchange.outcome == Outcome.NOT_RUN
    ]
    others = [s for s in sent_requests if s not in refused]
    for at_s in runs:
        if not any(s.started_s <= at_s for s in others):
            yield InvariantViolation(
                "executed despite not-run", f"executed={at_s:.3f}", key
            )
        for sent in refused:
            if at_s < sent.started_s:
                yield InvariantViolation(
                    "not-run after execution", f"executed={at_s:.3f}", key
                )


def _check_exchanges(chaos: Chaos) -> Iterator[InvariantViolation]:
    for sent in chaos.traffic.sent_requests:
        yield from _check_answer(sent)
        if sent.disconnected or chaos.was_entry_down(sent):
            continue
        exchange = sent.exchange
        has_typed_outcome = exchange.outcome in OUTCOMES
        if sent.ended_s is not None and not has_typed_outcome:
            yield InvariantViolation("no typed outcome", str(sent), sent.name)
        allowed_s = sent.deadline_s + DEADLINE_GRACE_S + chaos.frozen_s(sent)
        ended_s = sent.ended_s or chaos.now_s
        if ended_s - sent.started_s > allowed_s:
            yield InvariantViolation(
                "exceeded its deadline", str(sent), sent.name
            )
        elif sent.ended_s is None:
            yield InvariantViolation("did not end", str(sent), sent.name)


def _check_answer(sent: SentRequest) -> Iterator[InvariantViolation]:
    exchange = sent.exchange
    if isinstance(exchange, Completion):
        if exchange.done and not exchange.whole:
            yield InvariantViolation("wrong answer", str(sent), sent.name)
        if not exchange.prefix:
            yield InvariantViolation(
                "output not a prefix of the answer", str(sent), sent.name
            )
    elif exchange.status == 200:
        answered = _echoed_body(exchange.body)
        if answered != sent.body and not sent.disconnected:
            detail = f"{sent} answered={answered!r}"
            yield InvariantViolation(
                "answer of another call", detail, sent.name
            )


def _echoed_body(body: bytes) -> str:
    try:
        return json.loads(body)["body"]
    except (ValueError, KeyError):
        return "incomplete"


def _check_engines(chaos: Chaos) -> Iterator[InvariantViolation]:
    for name, server in chaos.cluster.servers.items():
        if isinstance(server, Engine) and server.oversold:
            yield InvariantViolation(
                "engine overcommitted", f"{name} x{server.oversold}"
            )


def find_held_memory(chaos: Chaos) -> list[InvariantViolation]:
    """Return a violation for each engine that still holds memory."""
    return [
        InvariantViolation(
            "engine memory not freed",
            f"{name} slots={server.slots_used} pieces={server.pieces_used} "
            f"{list(server.attempts)}",
            next(iter(server.attempts), ("",))[0],
        )
        for name, server in chaos.cluster.servers.items()
        if isinstance(server, Engine) and server.attempts
    ]
