"""Judges what clients and servers of a roll saw, by the users' rules."""

from __future__ import annotations

import math
from collections import Counter
from itertools import combinations

from tests.scenarios.roll_clients import DEADLINES_MS, STREAMS, Sent
from tests.scenarios.roll_engine import RollLedger
from tests.scenarios.roll_work import GRACE_S
from tests.silent_engine import whole
from tests.standins.moving_engine import Run

EXCUSED_SENT_S = 3.0
"""Time after SIGTERM up to which long requests are excused."""
EXCUSED_CUT_S = GRACE_S * 5 / 6
"""Time after SIGTERM from which these may be cut."""
LOSS_SLACK_S = 0.2
"""Time in which a request may cross the close of its connection."""
OVERLAP_S = 0.4
"""Time for which two engines may run one request."""
STABLE_WINDOW_S = 3.0
"""Time after a pause in which a gateway is not in touch."""
LATE_S = 1.0
"""Time after a pause in which a gateway acts on what it missed."""
HELD_S = 0.5
"""Time after which an event of an engine has reached a client."""
GONE_S = 0.5
"""Time after its client has left for which an engine may run a request."""
RESUME_S = 2.0
"""Time before its deadline up to which a broken stream is to be resumed."""
MAX_ATTEMPTS = 2
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run."""


class Judge:
    """Violations and counts of one roll."""

    def __init__(self, ledger: RollLedger, received: set, executed: Counter):
        self._ledger = ledger
        self._received, self._executed = received, executed
        self.violations: list[str] = []
        self.lost: list[Sent] = []
        """Requests that are named in the violations."""
        self.not_resumed: list[str] = []
        """Streams that may be resumed and were not, as their engine broke
        off."""
        self.paused: list[str] = []
        """What befell requests at a gateway that had been paused."""
        self.let_go: list[str] = []
        """Runs that a gateway ended at a pause of its own."""
        self.excused: Counter[str] = Counter()
        """Requests that were cut, by what excuses it."""
        self.abandoned = self.outlived = 0
        """Streams that clients abandoned, and those that ran on for long."""
        self.held: list[str] = []
        """Streams that clients abandoned while an engine ran them."""
        self.closed = self.stopped = 0
        """Runs that gateways closed, and that they stopped to move them."""

    def judge(self, requests: list[Sent]):
        for sent in requests:
            if not sent.sent_s:
                continue
            if sent.was_abandoned:
                self.abandoned += 1
                self._judge_abandoned(sent)
                self.outlived += any(
                    run.ended_s > sent.ended_s + GONE_S
                    for run in self._ledger.runs.get(sent.id, [])
                )
            elif not sent.complete:
                self._judge_cut(sent)
            self._judge_runs(sent)
            self._judge_order(sent)

    def counts(self) -> dict[str, int]:
        ledger = self._ledger
        runs = [run for runs in ledger.runs.values() for run in runs]
        return {
            **self.excused,
            "silent": len(ledger.silences),
            "abandoned": self.abandoned,
            "held": len(self.held),
            "ran on": self.outlived,
            "broken": len(ledger.broken),
            "not resumed": len(self.not_resumed),
            "moves": ledger.moves,
            "continued": sum(run.continues for run in runs),
            "closed": self.closed,
            "prefills": ledger.prefills,
            "in vain": ledger.prefills - ledger.used_prefills,
            "cut after a pause": len(self.paused),
            "let go at a pause": len(self.let_go),
        }

    def _judge_cut(self, sent: Sent):
        took_s = sent.ended_s - sent.sent_s
        if took_s >= DEADLINES_MS[sent.route] / 1_000 - 0.1:
            self.excused["at deadline"] += 1
            return
        was_passed_on = sent.id in self._received
        if not was_passed_on and (sent.was_reset or took_s <= LOSS_SLACK_S):
            self.excused["crossed a close"] += 1
            return
        before = [t for t in sent.gateway.terms_s if t <= sent.ended_s]
        term_s = before[-1] if before else float("-inf")
        if (
            sent.sent_s <= term_s + EXCUSED_SENT_S
            and sent.ended_s >= term_s + EXCUSED_CUT_S
        ):
            self.excused["end of grace"] += 1
            return
        runs = self._ledger.runs.get(sent.id, [])
        if runs and runs[-1].end == "broke off":
            # Streams that could be resumed are judged apart.
            self.excused["broken off"] += 1
            self._judge_broken(sent, runs, term_s)
            return
        self._report(
            f"LOST {sent.id} on {sent.route} at {name_of(sent)}: sent "
            f"{sent.sent_s - term_s:.2f} s after SIGTERM, cut {took_s:.2f} s "
            f"later, status {sent.status}, passed on: {was_passed_on}, "
            f"reset: {sent.was_reset}, kept: {sent.is_kept}, "
            f"{self._history(sent)}",
            sent,
        )

    def _judge_abandoned(self, sent: Sent):
        """Note a client that left though an engine had events for it."""
        silence = self._ledger.silences.get(sent.id)
        is_silent = (
            silence is not None
            and silence.started_s < sent.ended_s
            and silence.ended_s > sent.ended_s - HELD_S
        )
        runs = self._ledger.runs.get(sent.id, [])
        was_run = runs and runs[0].started_s < sent.ended_s - HELD_S
        if was_run and not is_silent:
            self.held.append(
                f"HELD {sent.id} on {sent.route} at {name_of(sent)}: left "
                f"{sent.ended_s - sent.sent_s:.2f} s after it was sent, "
                f"with {len(sent.body)} bytes, {self._history(sent)}"
            )
            self.lost.append(sent)

    def _judge_broken(self, sent: Sent, runs: list[Run], term_s: float):
        deadline_s = sent.sent_s + DEADLINES_MS[sent.route] / 1_000
        executed = sum(not run.continues for run in runs)
        if (
            sent.route == "again"
            and executed < MAX_ATTEMPTS
            and self._ledger.broken[sent.id]
            and sent.ended_s < deadline_s - RESUME_S
        ):
            self.not_resumed.append(
                f"NOT RESUMED {sent.id} at {name_of(sent)}: broken off "
                f"{runs[-1].ended_s - sent.sent_s:.2f} s after it was sent, "
                f"{runs[-1].ended_s - term_s:.2f} s after SIGTERM, "
                f"{self._ledger.broken[sent.id]} free, {self._history(sent)}"
            )
            self.lost.append(sent)

    def _judge_runs(self, sent: Sent):
        runs = self._ledger.runs.get(sent.id, [])
        self._count_let_go(sent, runs)
        executed = self._executed[sent.id]
        if executed and sent.status in PROMISES and sent.route == "once":
            self._report(f"REFUSED {sent.id}: {sent.status}, and ran", sent)
        if executed > 1 and sent.route in ("once", "text"):
            self._report(
                f"TWICE {sent.id} on {sent.route}: {executed} runs, "
                f"{self._history(sent)}",
                sent,
            )
        for one, other in combinations(runs, 2):
            start_s = max(one.started_s, other.started_s)
            both_s = min(one.ended_s, other.ended_s) - start_s
            if both_s > OVERLAP_S:
                self._report(
                    f"TWICE {sent.id} on {sent.route}: two engines for "
                    f"{both_s:.2f} s, {self._history(sent)}",
                    sent,
                )

    def _count_let_go(self, sent: Sent, runs: list[Run]):
        for run in runs:
            if run.end not in ("closed", "stopped", "stopped unheard"):
                continue
            if sent.ended_s and run.ended_s >= sent.ended_s:
                # Its client had gone.
                continue
            self.closed += run.end == "closed"
            self.stopped += run.end != "closed"
            silence = self._ledger.silences.get(sent.id)
            is_silent = silence is not None and (
                silence.started_s <= run.ended_s <= silence.ended_s
            )
            is_late = any(
                pause.started_s <= run.ended_s <= pause.ended_s + LATE_S
                for pause in sent.gateway.pauses
            )
            if is_late and not is_silent:
                self.let_go.append(
                    f"LET GO {sent.id} on {sent.route} at {name_of(sent)}: "
                    f"{self._history(sent)}"
                )
                self.lost.append(sent)

    def _judge_order(self, sent: Sent):
        if sent.status != 200 or sent.route not in STREAMS:
            return
        expected, got = whole(sent.events), bytes(sent.body)
        is_right = got == expected if sent.ended_s else True
        if not sent.complete or not sent.ended_s:
            is_right = expected.startswith(got)
        if not is_right:
            self._report(
                f"ORDER {sent.id} on {sent.route}: {len(got)} bytes of "
                f"{len(expected)}, complete: {sent.complete}, ends with "
                f"{got[-40:]}, {self._history(sent)}",
                sent,
            )

    def _report(self, text: str, sent: Sent):
        """Report a violation; rules with a bound need a gateway in touch."""
        was_paused = any(
            pause.started_s <= (sent.ended_s or math.inf)
            and pause.ended_s >= sent.sent_s - STABLE_WINDOW_S
            for pause in sent.gateway.pauses
        )
        is_bounded = (
            text.startswith(("LOST", "TWICE")) and " runs, " not in text
        )
        (self.paused if was_paused and is_bounded else self.violations).append(
            text
        )
        self.lost.append(sent)

    def _history(self, sent: Sent) -> str:
        """Return the runs and the silence, in seconds after the request."""
        found = [
            f"{run.engine.instance} {run.started_s - sent.sent_s:.2f} to "
            f"{run.ended_s - sent.sent_s:.2f} {run.end}"
            for run in self._ledger.runs.get(sent.id, [])
        ]
        silence = self._ledger.silences.get(sent.id)
        if silence is not None:
            found.append(
                f"{'mute' if silence.is_mute else 'silent'} "
                f"{silence.started_s - sent.sent_s:.2f} to "
                f"{silence.ended_s - sent.sent_s:.2f}"
            )
        return f"runs: {', '.join(found) or 'none'}"


def name_of(sent: Sent) -> str:
    return sent.gateway.process.settings["name"]
