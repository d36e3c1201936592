"""Detection of backend server crashes, and their reports.

A crash report lists the digests of the requests that were running when the
server crashed. Claim owners collect the reports as evidence for quarantine.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.address import split_address
from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.jobs import Attempts
from gooseberrypost.agent.lifecycle import FAILED_POLLS_UNTIL_DOWN
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import ConnectionLost, PeerUnreachable, TimedOut
from gooseberrypost.state.attempts import AttemptState, Phase
from gooseberrypost.timeouts import RunningTimeout
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Collection

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.agent.jobs import Job
    from gooseberrypost.agent.lifecycle import LifecycleController
    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt, ProcessId

LOAD_CHECK_INTERVAL_MS: Final = 50
MIN_LOST_REQUESTS: Final = 2
"""Lost token streams from which to conclude that a server restarted."""
LOAD_REPORT_TIMEOUT_MS: Final = 500
MAX_CHECK_TIME_MS: Final = FAILED_POLLS_UNTIL_DOWN * LOAD_REPORT_TIMEOUT_MS
"""Time after which a check without a clear result is given up.

The health checks wait for as many load reports before the server is down.
"""
CRASH_REPORT_TIMEOUT_MS: Final = 300


class ServerState(StrEnum):
    """What a check has shown of the server's process."""

    ANSWERS = "answers"
    REFUSES = "refuses"
    """No process accepts connections, so the one before has ended."""
    UNCLEAR = "unclear"
    """The link may be broken, or the server may only be busy."""


@dataclass(slots=True, frozen=True)
class ServerCheck:
    """Result of one check of the server."""

    state: ServerState
    attempts: frozenset[Attempt] | None = None
    """Attempts that the server has; None if it does not list them."""


class CrashReporter:
    """Detects backend server crashes and reports them to the claim owners."""

    __slots__ = (
        "_attempts",
        "_backend",
        "_checks_begun",
        "_claim_owners",
        "_crashes",
        "_latest",
        "_latest_number",
        "_lifecycle",
        "_lock",
        "_pool",
        "_process_id",
        "_report_tasks",
        "_reported",
    )

    def __init__(
        self,
        process_id: ProcessId,
        backend: Backend,
        attempts: Attempts,
        lifecycle: LifecycleController,
        pool: ChannelPool,
        peers: Collection[str],
    ) -> None:
        self._process_id = process_id
        self._backend = backend
        self._attempts = attempts
        self._lifecycle = lifecycle
        self._pool = pool
        self._claim_owners = set(peers)
        self._lock = asyncio.Lock()
        self._crashes = 0
        self._checks_begun = 0
        self._latest = ServerCheck(ServerState.UNCLEAR)
        self._latest_number = 0
        """Number of the check that ``_latest`` is the result of."""
        self._reported: set[Attempt] = set()
        self._report_tasks: set[asyncio.Task[Any]] = set()

    def add_claim_owner(self, address: str) -> None:
        """Add the address of a process that may own claim shards."""
        if address:
            self._claim_owners.add(address)

    async def detect_crash(self, attempt: Attempt) -> bool:
        """Return whether a server crash broke the connection of an attempt.

        The server has crashed if it refuses connections, or if it answers but
        has lost all running requests, several token streams among them. The
        crash is reported, once, before this returns. While connections are
        reset or nothing is answered the check is repeated; what then is still
        unclear does not count as a crash.
        """
        running = {job.attempt for job in self._attempts.running}
        clock = asyncio.get_running_loop().time
        end_s = clock() + MAX_CHECK_TIME_MS / 1_000
        while True:
            crashed = await self._check_crash(attempt, running)
            if crashed is not None:
                return crashed
            if clock() >= end_s:
                log_decision(
                    "crash_unclear", key=attempt.key, attempt=attempt.number
                )
                return False
            await asyncio.sleep(LOAD_CHECK_INTERVAL_MS / 1_000)

    async def _check_crash(
        self, attempt: Attempt, running: set[Attempt]
    ) -> bool | None:
        """Check the server once; None if that shows nothing.

        ``running`` are the attempts that ran when the connection broke.
        """
        begun = self._checks_begun
        async with self._lock:
            if attempt in self._reported and not self._is_engine:
                # The service does not list its calls, and no call can be
                # resumed.
                return True
            if self._latest_number <= begun:
                await self._check_server()
            check = self._latest
            if check.state is ServerState.UNCLEAR:
                return None
            if attempt in self._reported:
                return self._is_still_lost(attempt, check)
            lost = self._lost_attempts(running, check)
            if attempt not in lost:
                return False
            await self._report(lost)
            jobs = self._attempts.jobs
            self._reported = {a for a in self._reported if a in jobs} | lost
            return True

    def _is_still_lost(self, attempt: Attempt, check: ServerCheck) -> bool:
        """Whether an attempt that was reported is not on the server."""
        if check.state is ServerState.REFUSES:
            return True
        if check.attempts is None:
            return False
        if attempt in check.attempts:
            self._reported.discard(attempt)
            return False
        return True

    def _lost_attempts(
        self, running: set[Attempt], check: ServerCheck
    ) -> set[Attempt]:
        jobs = self._attempts.running
        still_running = {job.attempt for job in jobs} - self._reported
        if check.state is ServerState.REFUSES:
            return still_running
        if check.attempts is None:
            return set()
        lost = running & still_running
        taken = {job.attempt for job in jobs if self._is_taken(job)}
        # A single lost request does not prove a restart: the server may have
        # finished it, and only the end of its stream was lost.
        if len(lost & taken) < MIN_LOST_REQUESTS or lost & check.attempts:
            return set()
        return lost

    def _is_taken(self, job: Job) -> bool:
        """Whether the server has a job until its stream has been read.

        It may never have received others, or may have dropped their results.
        """
        state = self._attempts.table.state(job.attempt, Phase.DECODE)
        return job.has_begun or state is AttemptState.DECODING

    async def _check_server(self) -> None:
        """Check the server for all callers that wait for a result."""
        self._checks_begun += 1
        number = self._checks_begun
        self._latest = await self._ask_server()
        self._latest_number = number

    async def _ask_server(self) -> ServerCheck:
        listed = await self._attempts_on_server()
        if isinstance(listed, Ok):
            return ServerCheck(ServerState.ANSWERS, listed.ok_value)
        failure = listed.err_value
        if isinstance(failure, PeerUnreachable):
            is_refused = await _is_refused(self._backend.address)
            state = ServerState.REFUSES if is_refused else ServerState.UNCLEAR
            return ServerCheck(state)
        if isinstance(failure, ConnectionLost | TimedOut):
            return ServerCheck(ServerState.UNCLEAR)
        return ServerCheck(ServerState.ANSWERS)

    async def _attempts_on_server(
        self,
    ) -> Result[frozenset[Attempt] | None, Failure]:
        """List the attempts that the server has, if it responds."""
        report = await self._backend.load(LOAD_REPORT_TIMEOUT_MS)
        if isinstance(report, Err):
            return report
        if not isinstance(self._backend, EngineClient):
            return Ok(None)
        requests = await self._backend.requests()
        return requests.map(
            lambda items: frozenset(item.attempt for item in items)
        )

    @property
    def _is_engine(self) -> bool:
        return isinstance(self._backend, EngineClient)

    async def _report(self, lost: set[Attempt]) -> None:
        self._crashes += 1
        self._lifecycle.record_crash()
        jobs = [self._attempts.jobs.get(attempt) for attempt in lost]
        by_digest = {job.digest: job for job in jobs if job and job.digest}
        digests = sorted(by_digest)
        crash_id = (
            f"{self._process_id.name}-{self._process_id.incarnation}"
            f"-{self._crashes}"
        )
        message = idl.CrashReport(
            crash_id=crash_id,
            server=self._process_id.name,
            digests=digests,
            parts=[list(by_digest[digest].parts) for digest in digests],
            begun=[by_digest[digest].has_begun for digest in digests],
        )
        owners = sorted(self._claim_owners)
        tasks = [
            asyncio.create_task(
                self._pool.request(owner, message, CRASH_REPORT_TIMEOUT_MS)
            )
            for owner in owners
        ]
        acknowledged = await self._await_replies(tasks)
        log_decision(
            "crash_report",
            crash=crash_id,
            digests=len(digests),
            owners=len(owners),
            acknowledged=acknowledged,
        )

    async def _await_replies(
        self, tasks: list[asyncio.Task[Result[Any, Failure]]]
    ) -> int:
        """Count the acknowledgements within the timeout.

        Reports not yet acknowledged continue in the background.
        """
        if not tasks:
            return 0
        self._report_tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._report_tasks.discard)
        done, _ = await asyncio.wait(
            tasks, timeout=CRASH_REPORT_TIMEOUT_MS / 1_000
        )
        replies = [task.result() for task in done]
        return sum(
            isinstance(reply, Ok) and isinstance(reply.ok_value, idl.Ok)
            for reply in replies
        )


async def _is_refused(address: str) -> bool:
    """Whether no process accepts connections at an address."""
    try:
        host, port = split_address(address)
        with RunningTimeout(LOAD_REPORT_TIMEOUT_MS / 1_000):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    writer.close()
    return False
