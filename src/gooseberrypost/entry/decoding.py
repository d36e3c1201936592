"""Reads the tokens of an attempt, and reattaches to a broken stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    PeerUnreachable,
    TimedOut,
    TransferStalled,
)
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.placing import ModelWork
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.wire.channel import ReplyStream

REATTACH_TRIES: Final = 3
REATTACH_PAUSE_S: Final = 0.05
SILENCE_MS: Final = 2_000
"""A stream without a frame for this long is broken."""
FIRST_FRAME_MARGIN_MS: Final = 1_000
"""Time for the agent's own stall report, after the transfer timeout."""


class TokenReader:
    """Passes the tokens of one decode engine to the caller."""

    def __init__(
        self,
        ctx: EntryContext,
        work: ModelWork,
        agent: AgentView,
        on_first_token: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._work = work
        self._agent = agent
        self._on_first_token = on_first_token
        self._began = False

    async def read(
        self, decode: Any, transfer_timeout_ms: int
    ) -> Result[None, Failure]:
        """Send ``decode`` and read to the end of the stream.

        A connection that breaks, or falls silent after the first token, is
        reattached at the same agent from the next sequence number.
        """
        first_ms = transfer_timeout_ms + FIRST_FRAME_MARGIN_MS
        done = await self._read(decode, first_ms)
        for number in range(REATTACH_TRIES):
            if not isinstance(done, Err) or not self._is_broken(
                done.err_value
            ):
                return done
            if self._work.stream.is_complete:
                return Ok(None)
            self._ctx.log_retry(self._work.live, done.err_value, "reattach")
            await asyncio.sleep(REATTACH_PAUSE_S * number)
            again = await self._read(self._reattach_message(), SILENCE_MS)
            if not _is_unreachable(again):
                done = again
        return done

    def _is_broken(self, failure: Failure) -> bool:
        if isinstance(failure, ConnectionLost):
            return True
        return self._began and isinstance(failure, TimedOut)

    def _reattach_message(self) -> Any:
        view, stream = self._work.view, self._work.stream
        stream.restart(view.attempt)
        return idl.Reattach(
            key=view.key,
            attempt=view.attempt,
            next_sequence=stream.next_sequence,
        )

    async def _read(
        self, message: Any, first_timeout_ms: int
    ) -> Result[None, Failure]:
        opened = await self._ctx.agents.pool.get(self._agent.address)
        if isinstance(opened, Err):
            return self._ctx.agents.note(self._agent, opened)
        async with opened.ok_value.stream(message) as replies:
            return await self._consume(replies, first_timeout_ms)

    async def _consume(
        self, replies: ReplyStream, timeout_ms: int
    ) -> Result[None, Failure]:
        while True:
            reply = await replies.next(timeout_ms)
            if _timed_out(reply) and not self._began:
                return Err(TransferStalled("no token in the booked time"))
            noted = self._ctx.agents.note(self._agent, reply)
            if isinstance(noted, Err):
                return noted
            message = noted.ok_value
            if isinstance(message, idl.End):
                return await self._end(message)
            if isinstance(message, idl.Token):
                self._began = True
                timeout_ms = SILENCE_MS
                await self._token(message)
                if self._work.stream.overflowed:
                    return Err(ConnectionLost("too many early tokens"))

    async def _token(self, token: Any) -> None:
        work, live = self._work, self._work.live
        if token.key != live.key:
            return
        first = work.stream.next_sequence == 0
        texts = work.stream.accept(token.attempt, token.sequence, token.text)
        if not texts:
            return
        live.next_sequence = work.stream.next_sequence
        if live.stage != Stage.STREAM:
            live.stage = Stage.STREAM
            self._on_first_token()
        if first:
            live.first_token_at_ms = self._ctx.now_ms()
            self._ctx.metrics.observe(
                "first_token_ms",
                self._ctx.now_ms() - live.arrived_ms,
                service=live.service,
            )
        await work.answer.pass_on(texts)

    async def _end(self, end: Any) -> Result[None, Failure]:
        work = self._work
        if end.key != work.live.key or end.attempt != work.view.attempt:
            return Err(ConnectionLost("the end of another attempt"))
        work.stream.end(end.attempt, end.tokens)
        if work.stream.is_complete:
            return Ok(None)
        return Err(ConnectionLost("the end came before all tokens"))


def _timed_out(reply: Result[Any, Failure]) -> bool:
    return isinstance(reply, Err) and isinstance(reply.err_value, TimedOut)


def _is_unreachable(reply: Result[Any, Failure]) -> bool:
    return isinstance(reply, Err) and isinstance(
        reply.err_value, PeerUnreachable
    )
