"""Evidence of crashes of the backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.jobs import Attempts
from gooseberrypost.agent.log import decision
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Collection

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.agent.lifecycle import LifecycleController
    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt, ProcessId

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

        It crashed when its load report fails or it has lost the request.
        Returns after the evidence was reported, once for each crash.
        """
        async with self._lock:
            if attempt in self._reported:
                return True
            lost = await self._lost_attempts()
            if attempt not in lost:
                return False
            await self._report(lost)
            self._reported = lost
            return True

    async def _lost_attempts(self) -> set[Attempt]:
        running = {job.attempt for job in self._attempts.running}
        report = await self._backend.load(LOAD_TIMEOUT_MS)
        if isinstance(report, Err):
            return running
        if not isinstance(self._backend, EngineClient):
            return set()
        match await self._backend.requests():
            case Ok(listed):
                return running - {item.attempt for item in listed}
            case _:
                return running

    async def _report(self, lost: set[Attempt]) -> None:
        self._crashes += 1
        self._lifecycle.note_crash()
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
        decision(
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
