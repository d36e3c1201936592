"""Evidence of crashes of the backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.jobs import Attempts
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import ConnectionLost
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Collection

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.agent.lifecycle import LifecycleController
    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt, ProcessId

CHECKS: Final = 3
CHECK_INTERVAL_MS: Final = 50
RESTART_EVIDENCE: Final = 2
"""Requests that a live server must have lost together."""
LOAD_TIMEOUT_MS: Final = 500
REPORT_TIMEOUT_MS: Final = 300


class CrashReporter:
    """Tells the claim owners what ran when the backend server crashed."""

    __slots__ = (
        "_attempts",
        "_backend",
        "_crashes",
        "_lifecycle",
        "_lock",
        "_me",
        "_owners",
        "_pool",
        "_reported",
        "_sends",
    )

    def __init__(
        self,
        me: ProcessId,
        backend: Backend,
        attempts: Attempts,
        lifecycle: LifecycleController,
        pool: ChannelPool,
        peers: Collection[str],
    ) -> None:
        self._me = me
        self._backend = backend
        self._attempts = attempts
        self._lifecycle = lifecycle
        self._pool = pool
        self._owners = set(peers)
        self._lock = asyncio.Lock()
        self._crashes = 0
        self._reported: set[Attempt] = set()
        self._sends: set[asyncio.Task[Any]] = set()

    def add_owner(self, address: str) -> None:
        """Remember an address that may own claim shards."""
        if address:
            self._owners.add(address)

    async def crashed(self, attempt: Attempt) -> bool:
        """Judge a broken connection to the backend server.

        It crashed when its load report fails, or when it reports again but
        has lost every one of several requests.
        Returns after the evidence was reported, once for each crash.
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
        for _ in range(CHECKS):
            listed = await self._listed()
            if isinstance(listed, Ok):
                return _lost_by_live_server(running, listed.ok_value)
            if not isinstance(listed.err_value, ConnectionLost):
                break
            # The check may have been cut by what broke the request.
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
        return running

    async def _listed(self) -> Result[set[Attempt], Failure]:
        """List the attempts that a live server still has."""
        report = await self._backend.load(LOAD_TIMEOUT_MS)
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
        digests = sorted({job.digest for job in jobs if job and job.digest})
        crash_id = f"{self._me.name}-{self._me.incarnation}-{self._crashes}"
        message = idl.CrashReport(
            crash_id=crash_id, server=self._me.name, digests=digests
        )
        owners = sorted(self._owners)
        tasks = [
            asyncio.create_task(
                self._pool.request(owner, message, REPORT_TIMEOUT_MS)
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
        """Count acknowledgements in time; later ones go on unobserved."""
        if not tasks:
            return 0
        self._sends.update(tasks)
        for task in tasks:
            task.add_done_callback(self._sends.discard)
        done, _ = await asyncio.wait(tasks, timeout=REPORT_TIMEOUT_MS / 1_000)
        replies = [task.result() for task in done]
        return sum(
            isinstance(reply, Ok) and isinstance(reply.ok_value, idl.Ok)
            for reply in replies
        )


def _lost_by_live_server(
    running: set[Attempt], listed: set[Attempt]
) -> set[Attempt]:
    """Tell a restart too quick to be seen from a lost connection.

    A single lost request is no evidence: the server may have finished it and
    the end of its stream was lost with the connection.
    """
    if len(running) < RESTART_EVIDENCE or running & listed:
        return set()
    return running
