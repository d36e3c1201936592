"""Calls to backend servers, as an adapter implements them.

The failures say what is known of the execution, which decides whether a
request may be sent once more and what its client is told.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gooseberrypost.errors import NotRun, UnknownOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from gooseberrypost.gateway.model import EngineReport, Server, Stage
    from gooseberrypost.gateway.request import ClientRequest


class ServerUnreachable(NotRun):
    """No connection was made, so nothing was sent."""

    code = "server_unreachable"


class ServerRefused(NotRun):
    """The server states that it did not execute the request."""

    code = "server_refused"

    def __init__(self, detail: str = "", *, status: int = 503) -> None:
        super().__init__(detail)
        self.status = status


class WrongInstance(ServerRefused):
    """Another server, or an engine of another stage, has the address."""

    code = "wrong_instance"


class AnswerLost(UnknownOutcome):
    """The request was sent and its answer did not arrive whole."""

    code = "answer_lost"


class ForeignAnswer(AnswerLost):
    """The bytes on the connection answer another request."""

    code = "foreign_answer"


@dataclass(slots=True, frozen=True)
class KvHandle:
    """Prefilled KV cache that waits at an engine for its transfer."""

    server: Server
    handle: str
    tokens: int


@dataclass(slots=True, frozen=True)
class MovedRun:
    """A stopped generation and where it can go on."""

    kv: KvHandle
    server: Server
    """Engine that has the memory: the target, or the source without room."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """A slot and memory that an engine holds for one request."""

    server: Server
    id: str
    tokens: int


@dataclass(slots=True)
class Answer:
    """Head of a server's answer, and its body as it arrives."""

    status: int
    headers: list[tuple[str, str]]
    """Headers for the client, the server's signature among them."""
    is_signed: bool
    """Whether the signature is there; a success needs it."""
    chunks: AsyncIterator[bytes]
    """Raises ``AnswerLost`` when the body does not arrive whole."""
    is_event_stream: bool = False


@dataclass(slots=True)
class Send:
    """How one copy of a request is sent."""

    timeout_s: float
    """Time for the whole answer; the server is told the same."""
    connect_s: float
    """Time to establish the connection."""
    reservation: Reservation | None = None
    kv: KvHandle | None = None
    """Prefilled KV cache to fetch before decoding."""
    resume_after: str = ""


class Transport(ABC):
    """Calls to backend servers."""

    @abstractmethod
    def open(
        self, server: Server, req: ClientRequest, send: Send
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request and yield the answer once its head has arrived.

        Leaving the context early closes the connection, which stops the
        server's work. Raises ``ServerUnreachable``, ``ServerRefused`` or
        ``AnswerLost``.
        """

    @abstractmethod
    async def prefill(
        self, server: Server, req: ClientRequest, send: Send
    ) -> KvHandle:
        """Have an engine read the prompt; failures as for ``open``."""

    @abstractmethod
    async def reserve(
        self, server: Server, tokens: int, ttl_ms: int
    ) -> Reservation:
        """Hold a slot and memory; ``ServerRefused`` without room.

        Raises ``ServerUnreachable`` where the engine does not answer.
        """

    @abstractmethod
    async def cancel(self, reservation: Reservation) -> None:
        """Give up an unused reservation; failures are logged."""

    @abstractmethod
    async def stop_and_copy(
        self, server: Server, req: ClientRequest, target: Server
    ) -> MovedRun:
        """Stop a generation and copy its memory to another engine.

        The generation can go on from the copy as the same run. Raises
        ``ServerRefused`` where the engine runs no such request, and
        ``ServerUnreachable``.
        """

    @abstractmethod
    async def release(self, kv: KvHandle) -> None:
        """Free a KV cache that will not be used; failures are logged."""

    @abstractmethod
    async def report(self, server: Server) -> EngineReport:
        """Ask an engine for its state; raises ``ServerUnreachable``."""

    @abstractmethod
    async def order_stage(
        self,
        server: Server,
        stage: Stage,
        after_orders: int,
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> None:
        """Order an engine to another pool after so many other orders.

        Raises ``ServerRefused`` where it will not change, and
        ``ServerUnreachable`` or ``AnswerLost`` where that is not known.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
