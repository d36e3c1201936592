"""Dispatches received messages to the handler of their type."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging

from gooseberrypost.errors import ProtocolFailure
from gooseberrypost.logs import LineLimit
from gooseberrypost.wire.listener import (
    LOG_INTERVAL_S,
    Handler,
    Session,
    refusal_message,
)

MessageHandler = Callable[[Session, int, Any], Awaitable[None]]
SessionObserver = Callable[[Session], None]


class Dispatcher(Handler):
    """Routes each message type to its registered coroutine."""

    def __init__(self) -> None:
        self._handlers: dict[type, MessageHandler] = {}
        self._on_connect: list[SessionObserver] = []
        self._on_disconnect: list[SessionObserver] = []
        self.rejected_frames = 0
        self._log_limit = LineLimit(LOG_INTERVAL_S)

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Register the handler of a message type; replaces an earlier one."""
        self._handlers[message_type] = handler

    def on_connect(self, observer: SessionObserver) -> None:
        """Call ``observer`` for each new session."""
        self._on_connect.append(observer)

    def on_disconnect(self, observer: SessionObserver) -> None:
        """Call ``observer`` for each session that ends."""
        self._on_disconnect.append(observer)

    async def handle(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        """Dispatch a message; an unregistered type gets ``Refused``."""
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            failure = ProtocolFailure(f"{name} is not accepted here")
            await session.send(correlation, refusal_message(failure))
            return
        await handler(session, correlation, message)

    def connected(self, session: Session) -> None:
        """Notify the observers of a new session."""
        for observer in self._on_connect:
            observer(session)

    def disconnected(self, session: Session) -> None:
        """Notify the observers of an ended session."""
        for observer in self._on_disconnect:
            observer(session)

    def rejected(self, failure: ProtocolFailure) -> None:
        """Count an invalid frame, or a missing or late ``Hello``."""
        self.rejected_frames += 1
        if self._log_limit.admit():
            logging.warning(
                "event=frame_rejected detail=%r omitted=%d",
                failure.detail,
                self._log_limit.omitted,
            )
