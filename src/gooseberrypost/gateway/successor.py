"""Preparation of another engine while a silent one may still run a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.preparation import Preparation

if TYPE_CHECKING:
    from gooseberrypost.gateway.generation import Generation
    from gooseberrypost.gateway.model import Server


class Successor:
    """Another engine for a stream, prepared in a task of its own.

    A failure has no effect on the stream, which stays where it is.
    """

    __slots__ = ("_generation", "_source", "_spent_s", "preparation", "task")

    def __init__(
        self, generation: Generation, source: Server, spent_s: float
    ) -> None:
        self._generation = generation
        self._source = source
        self._spent_s = spent_s
        """Time at which the retry budget was used for the other engine."""
        self.preparation = Preparation(generation, source.identity)
        self.task = asyncio.create_task(self._prepare())
        """Ends when the preparation is complete or has failed."""

    @property
    def is_ready(self) -> bool:
        """Whether the other engine has memory and the prompt for it."""
        task = self.task
        return task.done() and not task.cancelled() and task.result()

    def allow_source(self) -> None:
        """Let the run go on at its engine, as its stream has ended."""
        self.preparation.allow_source()

    def cancel(self) -> None:
        """Give up the preparation, and release what was achieved."""
        self._generation.budget.refund(self._spent_s)
        if self.task.done():
            self.preparation.release()
        else:
            self.task.cancel()

    async def _prepare(self) -> bool:
        is_complete = False
        try:
            is_complete = await self.preparation.complete()
        except Failure as failure:
            self._generation.log(
                "successor_failed",
                server=self._source.instance,
                code=failure.code,
                detail=failure.detail,
            )
        except Exception:
            logging.exception("event=successor_failed")
        finally:
            if not is_complete:
                self.preparation.release()
        return is_complete
