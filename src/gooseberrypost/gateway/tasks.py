"""Keeps background tasks running after errors, and ends those of requests.

Without its background tasks a gateway would stay up half alive: it would
take requests but no longer send load notices, watch the store or grant
reservations.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mode import Service

    from gooseberrypost.metrics import Metrics

RESTART_DELAY_S: Final = 0.2
"""Time before a failed task is started again, which bounds its log lines."""


async def keep_running(
    service: Service,
    task: Callable[[], Awaitable[None]],
    metrics: Metrics,
) -> None:
    """Run a task of a service until it ends or the service stops.

    A task that fails is logged, counted and started again.
    """
    name = task.__qualname__
    while not service.should_stop:
        try:
            await task()
            return
        except Exception:
            metrics.count("task_failures_total", task=name)
            logging.exception("event=task_failed task=%s", name)
        await service.sleep(RESTART_DELAY_S)


async def cancel_and_wait(task: asyncio.Future[Any]) -> None:
    """Cancel a task whose result is not needed, and take its failure."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
    if not task.cancelled():
        task.exception()
