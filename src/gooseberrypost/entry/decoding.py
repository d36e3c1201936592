"""Token stream of an attempt, with reattachment after a lost connection."""

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
    from gooseberrypost.entry.placing import RequestState
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.wire.channel import ReplyStream

MAX_REATTACH_TRIES: Final = 3
REATTACH_BACKOFF_S: Final = 0.05
"""Increase of the pause before each further reattachment, in seconds."""
TOKEN_TIMEOUT_MS: Final = 2_000
"""Time without a frame after which a stream counts as lost, in ms."""
FIRST_FRAME_MARGIN_MS: Final = 1_000
"""Time after the transfer timeout for the agent to report a stall, in ms."""


class TokenReader:
    """Forwards the tokens of one decode engine to the caller."""

    def __init__(
        self,
        ctx: EntryContext,
        state: RequestState,
        agent: AgentView,
        on_first_token: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._state = state
        self._agent = agent
        self._on_first_token = on_first_token
        self._received_token = False

    async def read(
        self, decode: Any, transfer_timeout_ms: int
    ) -> Result[None, Failure]:
        """Send ``decode`` and read until the end of the stream.

        If the connection is lost, or no frame arrives in time after the first
        token, the stream is resumed at the same agent from the next sequence
        number.
        """
        first_timeout_ms = transfer_timeout_ms + FIRST_FRAME_MARGIN_MS
        result = await self._read_stream(decode, first_timeout_ms)
        for number in range(MAX_REATTACH_TRIES):
            if not isinstance(result, Err) or not self._is_broken(
                result.err_value
            ):
                return result
            if self._state.stream.is_complete:
                return Ok(None)
            self._ctx.log_retry(self._state.live, result.err_value, "reattach")
            await asyncio.sleep(REATTACH_BACKOFF_S * number)
            reattached = await self._read_stream(
                self._reattach_message(), TOKEN_TIMEOUT_MS
            )
            if not _is_unreachable(reattached):
                result = reattached
        return result

    def _is_broken(self, failure: Failure) -> bool:
        if isinstance(failure, ConnectionLost):
            return True
        return self._received_token and isinstance(failure, TimedOut)

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
            if _timed_out(reply) and not self._received_token:
                return Err(
                    TransferStalled("no token before the transfer timeout")
                )
            processed = self._ctx.agents.process_reply(self._agent, reply)
            if isinstance(processed, Err):
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


def _timed_out(reply: Result[Any, Failure]) -> bool:
    return isinstance(reply, Err) and isinstance(reply.err_value, TimedOut)


def _is_unreachable(reply: Result[Any, Failure]) -> bool:
    return isinstance(reply, Err) and isinstance(
        reply.err_value, PeerUnreachable
    )
