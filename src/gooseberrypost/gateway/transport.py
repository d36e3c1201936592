"""Interface for calls to backend servers; a platform adapter implements it.

Each failure states what is known about the execution of the request, which
decides whether the request may be retried and which error its client gets.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import NotRun, UnknownOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from gooseberrypost.gateway.model import EngineReport, Server, Stage
    from gooseberrypost.gateway.request import ClientRequest

SERVER_ERROR_STATUS: Final = 500
"""Lowest status by which a server reports that it failed a request."""


class ServerUnreachable(NotRun):
    """No connection was established, so the request was not sent.

    Control calls, which execute no request, raise this for a lost answer too.
    """

    code = "server_unreachable"

    def __init__(
        self, detail: str = "", *, is_own_delay: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_own_delay = is_own_delay
        """Whether this gateway was late itself, which shows nothing of the
        server."""


class ServerRefused(NotRun):
    """The server states that it did not execute the request."""

    code = "server_refused"

    def __init__(self, detail: str = "", *, status: int = 503) -> None:
        super().__init__(detail)
        self.status = status


class WrongInstance(ServerRefused):
    """Another server, or an engine in another stage, is at the address."""

    code = "wrong_instance"


class AnswerLost(UnknownOutcome):
    """The request was sent and its answer did not arrive in full."""

    code = "answer_lost"

    def __init__(
        self, detail: str = "", *, is_own_delay: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_own_delay = is_own_delay
        """Whether this gateway was late itself, which shows nothing of the
        server."""


class ForeignAnswer(AnswerLost):
    """The answer on the connection belongs to another request."""

    code = "foreign_answer"


class ProcessState(StrEnum):
    """What a call to a server shows of the process that it is known by."""

    RUNNING = "running"
    ENDED = "ended"
    """Nothing listens at its address, or another process does."""
    UNKNOWN = "unknown"
    """No answer; the server may be cut off or busy."""


@dataclass(slots=True, frozen=True)
class KvHandle:
    """KV cache of a prefilled prompt, held by an engine for transfer."""

    server: Server
    handle: str
    tokens: int


@dataclass(slots=True, frozen=True)
class MovedRun:
    """A stopped generation and the engine at which it can resume."""

    kv: KvHandle
    server: Server
    """Engine that holds the KV cache: the target, or the source if the target
    had no free memory."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """A batch slot and KV cache memory that an engine holds for a request."""

    server: Server
    id: str
    tokens: int


@dataclass(slots=True)
class Answer:
    """Status and headers of a server's answer, and its streamed body."""

    status: int
    headers: list[tuple[str, str]]
    """Headers for the client, including the server's signature."""
    is_signed: bool
    """Whether the server's signature is present; required for a success."""
    chunks: AsyncIterator[bytes]
    """Parts of the body; raises ``AnswerLost`` if it does not end properly."""
    is_event_stream: bool = False
    is_framed: bool = True
    """Whether the body has a length or chunks, so that its end is certain."""
    length: int | None = None
    """Bytes of the body, if the server names them."""

    @property
    def is_server_error(self) -> bool:
        """Whether the server reports that it failed the request."""
        return self.status >= SERVER_ERROR_STATUS


@dataclass(slots=True)
class SendOptions:
    """Options of one attempt to send a request."""

    timeout_s: float
    """Time for the whole answer, also sent to the server as its deadline."""
    connect_timeout_s: float
    """Time to establish the connection."""
    reservation: Reservation | None = None
    kv: KvHandle | None = None
    """Prefilled KV cache that the engine fetches before decoding."""
    resume_after: str = ""
    """Id of the last event that the client has; empty: from the start."""


class Transport(ABC):
    """Calls to backend servers."""

    on_rate_limit: Callable[[Server, float | None], None] = staticmethod(
        lambda server, per_s: None
    )
    """Callback for the rate limit that a server names in an answer.

    It is in requests per second over all gateways; None if a complete answer
    of the server names none.
    """

    on_leaving: Callable[[Server], None] = staticmethod(lambda server: None)
    """Callback for a server that says in an answer that it leaves."""

    on_pause: Callable[[Server, float], None] = staticmethod(
        lambda server, pause_s: None
    )
    """Callback for the seconds for which a refusal asks for no requests."""

    @abstractmethod
    def open(
        self, server: Server, req: ClientRequest, options: SendOptions
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request and yield the answer once its headers have arrived.

        Leaving the context early closes the connection, upon which the server
        stops its work. Raises ``ServerUnreachable``, ``ServerRefused`` or
        ``AnswerLost``.
        """

    @abstractmethod
    async def prefill(
        self, server: Server, req: ClientRequest, options: SendOptions
    ) -> KvHandle:
        """Prefill the prompt at an engine; raises as ``open`` does."""

    @abstractmethod
    async def reserve(
        self, server: Server, tokens: int, ttl_ms: int
    ) -> Reservation:
        """Reserve a slot and memory at an engine.

        Raises ``ServerRefused`` if the engine lacks capacity, and
        ``ServerUnreachable`` if it does not answer.
        """

    @abstractmethod
    async def cancel_reservation(self, reservation: Reservation) -> None:
        """Cancel an unused reservation; failures are only logged."""

    @abstractmethod
    async def stop_and_copy(
        self,
        server: Server,
        req: ClientRequest,
        target: Server,
        timeout_s: float,
    ) -> MovedRun:
        """Stop a generation and copy its KV cache to another engine.

        The generation can resume from the copy and counts as the same
        execution. Raises ``ServerRefused`` if the engine does not run the
        request, and ``ServerUnreachable``.
        """

    @abstractmethod
    async def release_kv(self, kv: KvHandle) -> None:
        """Free a KV cache that is not needed; failures are only logged."""

    @abstractmethod
    async def fetch_report(self, server: Server) -> EngineReport:
        """Return an engine's state; raises ``ServerUnreachable``."""

    @abstractmethod
    async def process_state(
        self, server: Server, timeout_s: float
    ) -> ProcessState:
        """Ask whether the server's process still runs."""

    @abstractmethod
    async def order_stage(
        self,
        server: Server,
        stage: Stage,
        expected_orders: int,
        holder: str,
        fencing_token: int,
        timeout_s: float,
    ) -> None:
        """Order an engine to change to another stage.

        The order takes effect only if the engine has accepted exactly
        ``expected_orders`` orders before. Raises ``ServerRefused`` if the
        engine will not change, and ``ServerUnreachable`` or ``AnswerLost`` if
        that is unknown.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
