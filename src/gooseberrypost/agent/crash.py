"""Detection of backend server crashes, and their reports.

A crash report lists the digests of the requests that were running when the
server crashed. Claim owners collect the reports as evidence for quarantine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.jobs import Attempts
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import ConnectionLost, PeerUnreachable
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Collection

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.agent.lifecycle import LifecycleController
    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt, ProcessId

MAX_LOAD_CHECKS: Final = 3
"""Load checks with a lost connection before the server counts as crashed.

A refused connection counts as a crash at once. A check without a reply in time
does not count as one: the server may only be busy.
"""
LOAD_CHECK_INTERVAL_MS: Final = 50
MIN_LOST_REQUESTS: Final = 2
"""Lost requests needed to conclude that a responding server restarted."""
LOAD_REPORT_TIMEOUT_MS: Final = 500
CRASH_REPORT_TIMEOUT_MS: Final = 300


class CrashReporter:
    """Detects backend server crashes and reports them to the claim owners."""

    __slots__ = (
        "_attempts",
        "_backend",
        "_claim_owners",
        "_crashes",
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
        self._reported: set[Attempt] = set()
        self._report_tasks: set[asyncio.Task[Any]] = set()

    def add_claim_owner(self, address: str) -> None:
        """Add the address of a process that may own claim shards."""
        if address:
            self._claim_owners.add(address)

    async def detect_crash(self, attempt: Attempt) -> bool:
        """Return whether a server crash broke the connection of an attempt.

        The server has crashed if it cannot be connected to, or if it gives a
        load report but has lost every one of several running requests. The
        crash is reported, once, before this returns.
        """
        async with self._lock:
            if attempt in self._reported:
                return True
            lost = await self._lost_attempts()
            if attempt not in lost:
                return False
            await self._report(lost)
            jobs = self._attempts.jobs
            self._reported = {a for a in self._reported if a in jobs} | lost
            return True

    async def _lost_attempts(self) -> set[Attempt]:
        running = {job.attempt for job in self._attempts.running}
        for _ in range(MAX_LOAD_CHECKS):
            on_server = await self._attempts_on_server()
            if isinstance(on_server, Ok):
                return _lost_in_restart(running, on_server.ok_value)
            if isinstance(on_server.err_value, PeerUnreachable):
                break
            if not isinstance(on_server.err_value, ConnectionLost):
                return set()
            # The fault that broke the request may have broken this check too.
            await asyncio.sleep(LOAD_CHECK_INTERVAL_MS / 1_000)
        return running

    async def _attempts_on_server(self) -> Result[set[Attempt], Failure]:
        """List the attempts that the server has, if it responds."""
        report = await self._backend.load(LOAD_REPORT_TIMEOUT_MS)
        if isinstance(report, Err):
            return report
        if not isinstance(self._backend, EngineClient):
            return Ok({job.attempt for job in self._attempts.running})
        requests = await self._backend.requests()
        return requests.map(lambda items: {item.attempt for item in items})

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


def _lost_in_restart(
    running: set[Attempt], on_server: set[Attempt]
) -> set[Attempt]:
    """Return the attempts lost in a restart that no load check noticed.

    A restart between two checks looks like a broken connection. A single lost
    request does not prove a restart: the server may have finished the request,
    and only the end of its stream was lost with the connection.
    """
    if len(running) < MIN_LOST_REQUESTS or running & on_server:
        return set()
    return running
