"""Token stream of an attempt, with reattachment after a lost connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    NotRun,
    PeerUnreachable,
    TimedOut,
)
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.placing import RequestState
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.wire.channel import ReplyStream

STALL_TRIES: Final = 3
"""Reattachments without a token after which a stream counts as stalled."""
REATTACH_BACKOFF_S: Final = 0.05
"""Increase of the pause before each further reattachment, in seconds."""
MAX_REATTACH_PAUSE_S: Final = 0.5
TOKEN_TIMEOUT_MS: Final = 2_000
"""Time without a frame after which a stream counts as lost, in ms."""
FIRST_FRAME_MARGIN_MS: Final = 1_000
"""Time after the transfer timeout for the agent to report a stall, in ms."""


class Stall:
    """Tells whether the token stream of an attempt has stalled, and why."""

    __slots__ = ("_ended", "_started", "failure")

    def __init__(self) -> None:
        self.failure: Failure | None = None
        """Last failure of the stream; ``None`` while it is not stalled."""
        self._started = asyncio.Event()
        self._ended = asyncio.Event()

    def start(self, failure: Failure) -> None:
        """Record that the stream has stalled."""
        self.failure = failure
        self._ended.clear()
        self._started.set()

    def end(self) -> None:
        """Record that the stream goes on, or that it has ended."""
        self.failure = None
        self._started.clear()
        self._ended.set()

    async def started(self) -> None:
        """Wait until the stream is stalled."""
        await self._started.wait()

    async def ended(self) -> None:
        """Wait until the stream is no longer stalled."""
        await self._ended.wait()


class TokenReader:
    """Forwards the tokens of one decode engine to the caller."""

    def __init__(
        self,
        ctx: EntryContext,
        state: RequestState,
        agent: AgentView,
        stall: Stall,
        on_first_token: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._state = state
        self._agent = agent
        self._stall = stall
        self._on_first_token = on_first_token
        self._received_token = False
        self._failed_tries = 0
        """Consecutive reattachments that yielded no token."""
        self._is_ended = False
        """The agent has ended the attempt or refused it."""

    async def read(
        self, decode: Any, transfer_timeout_ms: int
    ) -> Result[None, Failure]:
        """Send ``decode`` and read until the end of the stream.

        If the connection is lost, or no frame arrives in time, the stream is
        resumed at the same agent from the next sequence number. The engine
        may be running the attempt all the while, so only an answer of the
        agent ends it here.
        """
        first_timeout_ms = transfer_timeout_ms + FIRST_FRAME_MARGIN_MS
        try:
            result = await self._read_stream(decode, first_timeout_ms)
            while isinstance(result, Err) and self._is_broken(result):
                if self._state.stream.is_complete:
                    return Ok(None)
                result = await self._reattach(result.err_value)
            return result
        finally:
            self._stall.end()

    def _is_broken(self, result: Err[Failure]) -> bool:
        return not self._is_ended and isinstance(
            result.err_value, ConnectionLost | TimedOut
        )

    async def _reattach(self, failure: Failure) -> Result[None, Failure]:
        """Read on after a failure, which is returned if nothing changed."""
        is_late_start = not self._received_token and isinstance(
            failure, TimedOut
        )
        if is_late_start or self._failed_tries >= STALL_TRIES:
            self._stall.start(failure)
        self._ctx.log_retry(self._state.live, failure, "reattach")
        pause_s = REATTACH_BACKOFF_S * self._failed_tries
        self._failed_tries += 1
        await asyncio.sleep(min(pause_s, MAX_REATTACH_PAUSE_S))
        reattached = await self._read_stream(
            self._reattach_message(), TOKEN_TIMEOUT_MS
        )
        if not isinstance(reattached, Err):
            return reattached
        if isinstance(reattached.err_value, PeerUnreachable):
            return Err(failure)
        if isinstance(reattached.err_value, NotRun):
            # The agent, or the process that replaced it, has lost the run.
            return Err(ConnectionLost(str(reattached.err_value)))
        return reattached

    def _reattach_message(self) -> Any:
        view, stream = self._state.view, self._state.stream
        stream.restart(view.attempt)
        return idl.Reattach(
            key=view.key,
            attempt=view.attempt,
            next_sequence=stream.next_sequence,
        )

    async def _read_stream(
        self, message: Any, first_timeout_ms: int
    ) -> Result[None, Failure]:
        opened = await self._ctx.agents.pool.get(self._agent.address)
        if isinstance(opened, Err):
            return self._ctx.agents.process_reply(self._agent, opened)
        async with opened.ok_value.stream(message) as replies:
            return await self._consume(replies, first_timeout_ms)

    async def _consume(
        self, replies: ReplyStream, timeout_ms: int
    ) -> Result[None, Failure]:
        while True:
            reply = await replies.next(timeout_ms)
            processed = self._ctx.agents.process_reply(self._agent, reply)
            if isinstance(processed, Err):
                self._is_ended = isinstance(reply, Ok)
                return processed
            message = processed.ok_value
            if isinstance(message, idl.End):
                return await self._handle_end(message)
            if isinstance(message, idl.Token):
                self._received_token = True
                timeout_ms = TOKEN_TIMEOUT_MS
                await self._handle_token(message)
                if self._state.stream.overflowed:
                    return Err(
                        ConnectionLost("too many tokens out of sequence")
                    )

    async def _handle_token(self, token: Any) -> None:
        state, live = self._state, self._state.live
        if token.key != live.key:
            return
        self._failed_tries = 0
        self._stall.end()
        is_first_token = state.stream.next_sequence == 0
        texts = state.stream.accept(token.attempt, token.sequence, token.text)
        if not texts:
            return
        live.next_sequence = state.stream.next_sequence
        if live.stage != Stage.STREAM:
            live.stage = Stage.STREAM
            self._on_first_token()
        if is_first_token:
            live.first_token_at_ms = self._ctx.now_ms()
            self._ctx.metrics.observe(
                "first_token_ms",
                self._ctx.now_ms() - live.arrived_ms,
                service=live.service,
            )
        await state.answer.write_tokens(texts)

    async def _handle_end(self, end: Any) -> Result[None, Failure]:
        state = self._state
        if end.key != state.live.key or end.attempt != state.view.attempt:
            return Err(ConnectionLost("end of stream is for another attempt"))
        state.stream.end(end.attempt, end.tokens)
        if state.stream.is_complete:
            return Ok(None)
        return Err(ConnectionLost("end of stream came before all tokens"))
