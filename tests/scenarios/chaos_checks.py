"""Rules that every random run must keep, checked when it is quiet.

An answer ``not-run`` holds for the moment of its decision, which lies between
the sending and its reply. So it is false when the key was executed before
that sending began, whatever an earlier sending of the key was told. It says
nothing of executions that a later or concurrent sending explains. Hence each
execution needs a sending that began before it and was not told ``not-run``.
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
    from tests.scenarios.chaos_traffic import Sending

OUTCOMES = {outcome.value for outcome in Outcome}
GRACE_S = 5.0
"""Time after its deadline in which an exchange must have ended."""


@dataclass(frozen=True)
class Broken:
    """A broken rule, with the key it concerns where there is one."""

    rule: str
    detail: str
    key: str = ""


def check(chaos: Chaos) -> list[Broken]:
    """Check everything that callers and backend servers saw."""
    by_key: dict[str, list[Sending]] = defaultdict(list)
    for sending in chaos.traffic.sendings:
        if sending.name:
            by_key[sending.name].append(sending)
    runs = executions(chaos)
    broken = list(_check_exchanges(chaos))
    broken += _check_engines(chaos)
    for key, sendings in by_key.items():
        broken += _check_trace(key, sendings, runs[key])
        broken += _check_not_run(key, sendings, runs[key])
    return broken


def executions(chaos: Chaos) -> dict[str, list[float]]:
    """Return the times of the executions of each key."""
    found: dict[str, list[float]] = defaultdict(list)
    for server in chaos.cluster.servers.values():
        if isinstance(server, PlainService):
            for key, at_s in server.runs:
                found[key].append(at_s - chaos.began_s)
    return found


def _check_trace(
    key: str, sendings: list[Sending], runs: list[float]
) -> Iterator[Broken]:
    idempotent = sendings[0].idempotent
    timed = [
        (at_s, Event(EventKind.EXECUTED, key, idempotent=idempotent))
        for at_s in runs
    ]
    for sending in sendings:
        exchange = sending.exchange
        done = isinstance(exchange, Call) or exchange.done
        what = {
            "completed": EventKind.ANSWERED,
            "duplicate": EventKind.REPLAYED,
        }.get(exchange.outcome or "")
        whole = exchange.status == 200 and done and not exchange.code
        if what and whole and not sending.left:
            body = exchange.body
            event = Event(what, key, idempotent=idempotent, body=body)
            timed.append((sending.ended_s or 0.0, event))
    # A replay may overtake the original on its way, so the order of bodies
    # says nothing; the rules used here do not depend on it.
    timed.sort(key=lambda pair: pair[0])
    for violation in find_violations(event for _, event in timed):
        yield Broken(violation.rule, "see the trace", key)


def _check_not_run(
    key: str, sendings: list[Sending], runs: list[float]
) -> Iterator[Broken]:
    told = [s for s in sendings if s.exchange.outcome == Outcome.NOT_RUN]
    others = [s for s in sendings if s not in told]
    for at_s in runs:
        if not any(s.started_s <= at_s for s in others):
            yield Broken(
                "executed though told not-run", f"executed={at_s:.3f}", key
            )
        for sending in told:
            if at_s < sending.started_s:
                yield Broken(
                    "told not-run after it ran", f"executed={at_s:.3f}", key
                )


def _check_exchanges(chaos: Chaos) -> Iterator[Broken]:
    for sending in chaos.traffic.sendings:
        yield from _check_answer(sending)
        if sending.left or chaos.was_down(sending):
            continue
        exchange = sending.exchange
        typed = exchange.outcome in OUTCOMES
        if sending.ended_s is not None and not typed:
            yield Broken("no typed outcome", str(sending), sending.name)
        allowed_s = sending.deadline_s + GRACE_S + chaos.frozen_s(sending)
        ended_s = sending.ended_s or chaos.now_s
        if ended_s - sending.started_s > allowed_s:
            yield Broken("hangs", str(sending), sending.name)
        elif sending.ended_s is None:
            yield Broken("did not end", str(sending), sending.name)


def _check_answer(sending: Sending) -> Iterator[Broken]:
    exchange = sending.exchange
    if isinstance(exchange, Completion):
        if exchange.done and not exchange.whole:
            yield Broken("wrong answer", str(sending), sending.name)
        if not exchange.prefix:
            yield Broken("not a prefix", str(sending), sending.name)
    elif exchange.status == 200:
        answered = _called_body(exchange.body)
        if answered != sending.body and not sending.left:
            detail = f"{sending} answered={answered!r}"
            yield Broken("answer of another call", detail, sending.name)


def _called_body(body: bytes) -> str:
    try:
        return json.loads(body)["body"]
    except (ValueError, KeyError):
        return "incomplete"


def _check_engines(chaos: Chaos) -> Iterator[Broken]:
    for name, server in chaos.cluster.servers.items():
        if isinstance(server, Engine) and server.oversold:
            yield Broken("engine oversold", f"{name} x{server.oversold}")


def held(chaos: Chaos) -> list[Broken]:
    """Engine memory that is held now."""
    return [
        Broken(
            "engine memory held",
            f"{name} slots={server.slots_used} pieces={server.pieces_used} "
            f"{list(server.works)}",
            next(iter(server.works), ("",))[0],
        )
        for name, server in chaos.cluster.servers.items()
        if isinstance(server, Engine) and server.works
    ]
