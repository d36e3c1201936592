"""Signals that a gateway gets while its event loop is late."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from types import SimpleNamespace

from gooseberrypost.gateway.daemon import serve_until_signal

LATE_S = 0.5


class DrainingDaemon:
    """Daemon that keeps the time from which its grace counts."""

    settings = SimpleNamespace(name="g", zone="a")
    context = SimpleNamespace(now_s=time.monotonic)

    def __init__(self):
        self.signalled_s = None

    async def start(self):
        return

    async def drain(self, signalled_s=None):
        self.signalled_s = signalled_s

    async def stop(self):
        return


def stand_still(pause_s: float):
    """Block the event loop of the test, as a pause of its process does."""
    time.sleep(pause_s)


def test_grace_counts_from_the_signal():
    """Guards against a drain that outlasts the grace of the platform.

    The event loop is late to notice the signal, which comes a second time.
    """

    async def work():
        daemon = DrainingDaemon()
        task = asyncio.create_task(serve_until_signal(daemon, lambda: None))
        await asyncio.sleep(0.05)
        sent_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        stand_still(LATE_S)
        os.kill(os.getpid(), signal.SIGTERM)
        await task
        assert daemon.signalled_s - sent_s < LATE_S / 2

    handlers = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        asyncio.run(work())
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
