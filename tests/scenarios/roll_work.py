"""Planned work on the gateways of a roll: signals and configurations."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
from collections.abc import Callable
from contextlib import suppress

from tests.scenarios.processes import is_gateway_ready
from tests.scenarios.roll_clients import Gateway, Pause

GRACE_S = 8.0
READY_TIMEOUT_S = 30.0
PAUSE_S = (0.5, 3.0)
"""Shortest and longest pause of a gateway."""


class NotReady(Exception):
    """A gateway that was started is not ready; with the end of its log."""


async def wait_ready(gateway: Gateway):
    process = gateway.process
    is_ready = False
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not is_ready:
                await asyncio.sleep(0.1)
                is_ready = await is_gateway_ready(process)
    except TimeoutError:
        lines = [f"exit {process.exit_code}", *process.log_lines()[-40:]]
        raise NotReady("\n".join(lines)) from None


class PlannedWork:
    """Stops, restarts, reloads and pauses gateways at random times."""

    def __init__(
        self,
        rng: random.Random,
        gateways: list[Gateway],
        change_configuration: Callable[[], None],
        has_pauses: bool,
    ):
        self._rng = rng
        self._gateways = gateways
        self._change = change_configuration
        self._has_pauses = has_pauses
        self.signals = 0
        self.killed = 0
        """Gateways that ran longer than the grace."""

    async def run(self, seconds: float):
        """Begin series of work for a time, and wait until all has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        tasks = []
        while loop.time() < end_s:
            work = self._rng.choices(
                (
                    self._restart,
                    self._reload,
                    self._change_configuration,
                    self._pause,
                ),
                (5, 2, 1, 4 if self._has_pauses else 0),
            )[0]
            tasks.append(asyncio.create_task(work()))
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await asyncio.gather(*tasks)

    async def _restart(self):
        """Stop a gateway by SIGTERM and start it again."""
        gateway = self._rng.choice(self._gateways)
        if gateway.busy:
            return
        gateway.busy = True
        self.signals += 1
        loop = asyncio.get_running_loop()
        gateway.terms_s.append(loop.time())
        gateway.process.signal(signal.SIGTERM)
        if self._rng.random() < 0.3:
            await asyncio.sleep(self._rng.uniform(0, 3))
            gateway.process.signal(signal.SIGHUP)
        popen = gateway.process.popen
        with suppress(subprocess.TimeoutExpired):
            left_s = gateway.terms_s[-1] + GRACE_S - loop.time()
            await asyncio.to_thread(popen.wait, left_s)
        if gateway.process.running:
            # As the platform does. Requests that this cuts are judged.
            self.killed += 1
            gateway.process.signal(signal.SIGCONT)
            gateway.process.signal(signal.SIGKILL)
        await asyncio.to_thread(popen.wait)
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        gateway.process.start()
        await wait_ready(gateway)
        gateway.busy = False

    async def _reload(self):
        gateway = self._rng.choice(self._gateways)
        if not gateway.busy:
            self.signals += 1
            gateway.process.signal(signal.SIGHUP)

    async def _pause(self):
        """Have a gateway not run for a while."""
        gateway = self._rng.choice(self._gateways)
        if gateway.busy or gateway.is_paused:
            return
        loop = asyncio.get_running_loop()
        pause = Pause(loop.time())
        gateway.pauses.append(pause)
        gateway.process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        gateway.process.signal(signal.SIGCONT)
        pause.ended_s = loop.time()

    async def _change_configuration(self):
        for _ in range(self._rng.randint(1, 6)):
            self._change()
            await asyncio.sleep(self._rng.uniform(0, 0.2))
