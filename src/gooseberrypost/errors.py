"""Typed failures with the code, HTTP status and outcome sent to the caller.

Expected failures are returned as values (``result.Err(NoCapacity(...))``).
They derive from ``Exception`` so that users of the library can raise them too.

    >>> failure = NoCapacity("no decode slot", retry_after_ms=200)
    >>> failure.code, failure.outcome
    ('no_capacity', <Outcome.NOT_RUN: 'not-run'>)
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class Outcome(StrEnum):
    """What a caller may conclude about the execution of its request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DUPLICATE = "duplicate"
    FAILED = "failed"


class Failure(Exception):
    """Base class of every typed failure."""

    code: ClassVar[str] = "failure"
    """Stable error code; part of the public interface."""
    http_status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN

    def __init__(
        self, detail: str = "", *, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        return f"{self.code}: {self.detail}" if self.detail else self.code


class NotRun(Failure):
    """The request was not run, and a delayed message cannot start it later."""

    code = "not_run"
    http_status = 503
    outcome = Outcome.NOT_RUN


class MalformedRequest(NotRun):
    """The request cannot be parsed or lacks a required field."""

    code = "malformed_request"
    http_status = 400


class BodyTooLarge(NotRun):
    """The request body exceeds the configured limit in bytes."""

    code = "body_too_large"
    http_status = 413


class HeadersTooLarge(NotRun):
    """The request headers exceed the configured limit in bytes."""

    code = "headers_too_large"
    http_status = 431


class RequestIncomplete(NotRun):
    """The caller did not send its complete request within the timeout."""

    code = "request_incomplete"
    http_status = 408


class UnknownModel(NotRun):
    """No service offers the requested model."""

    code = "unknown_model"
    http_status = 404


class UnknownService(NotRun):
    """No service has the requested name."""

    code = "unknown_service"
    http_status = 404


class UnknownAccount(NotRun):
    """The account is not configured, and unknown accounts are not served."""

    code = "unknown_account"
    http_status = 403


class KeyReused(NotRun):
    """The idempotency key was already used with a different body."""

    code = "key_reused"
    http_status = 422


class Quarantined(NotRun):
    """Servers crashed under the request, or under parts of its prompt."""

    code = "quarantined"
    http_status = 422


class AccountLimited(NotRun):
    """The account exceeds a limit on its rate, concurrency or share."""

    code = "account_limit"
    http_status = 429


class ServiceLimited(NotRun):
    """The service exceeds its rate or concurrency limit."""

    code = "service_limit"
    http_status = 429


class ServerLimited(NotRun):
    """The backend servers are at the rate limits that they named."""

    code = "server_limited"


class TargetUnreachable(NotRun):
    """Admission predicts that the latency targets cannot be met."""

    code = "target_unreachable"


class NoCapacity(NotRun):
    """No backend server granted a reservation."""

    code = "no_capacity"


class Draining(NotRun):
    """The process or backend server is draining and takes no new requests."""

    code = "draining"


class StaleAttempt(NotRun):
    """A higher attempt number is known, or this attempt was revoked."""

    code = "stale_attempt"


class StaleOrder(NotRun):
    """An order carries an old fencing token, or its sender's lease expired."""

    code = "stale_order"
    http_status = 409


class ClaimsUnavailable(NotRun):
    """The claim could not be stored durably, so the call was not started."""

    code = "claims_unavailable"


class DeadlinePassed(NotRun):
    """The deadline passed before the request was sent to a backend server."""

    code = "deadline_passed"
    http_status = 504


class PeerUnreachable(NotRun):
    """No connection to the peer could be opened, so nothing was sent."""

    code = "peer_unreachable"


class UnknownOutcome(Failure):
    """The request was sent, and whether it ran cannot be determined."""

    code = "outcome_unknown"
    http_status = 502
    outcome = Outcome.UNKNOWN


class ConnectionLost(UnknownOutcome):
    """The connection broke after the message may have been delivered."""

    code = "connection_lost"


class TimedOut(UnknownOutcome):
    """No reply arrived within the timeout."""

    code = "timed_out"
    http_status = 504


class Duplicate(Failure):
    """The request is running or completed, and its answer is unavailable."""

    code = "duplicate"
    http_status = 409
    outcome = Outcome.DUPLICATE


class Superseded(Failure):
    """A higher attempt owns the request; this attempt must not answer."""

    code = "superseded"
    http_status = 409
    outcome = Outcome.DUPLICATE


class ExecutionFailed(Failure):
    """The request was run but did not produce a complete answer."""

    code = "execution_failed"
    http_status = 502
    outcome = Outcome.FAILED


class EngineCrashed(ExecutionFailed):
    """The backend server crashed while it ran the request."""

    code = "engine_crashed"


class AttemptReleased(ExecutionFailed):
    """The agent ended the attempt because it heard nothing of the entry."""

    code = "attempt_released"


class TransferStalled(ExecutionFailed):
    """A KV cache transfer exceeded its timeout and was aborted."""

    code = "transfer_stalled"


class HandleExpired(ExecutionFailed):
    """The prefill result expired before a decode engine imported it."""

    code = "handle_expired"


class CallerGone(ExecutionFailed):
    """The caller disconnected, and its engine memory was released."""

    code = "caller_gone"
    http_status = 499


class ProtocolFailure(Failure):
    """A frame has an invalid version, type, size or body."""

    code = "protocol_failure"
    http_status = 400


def _subclasses(base: type[Failure]) -> list[type[Failure]]:
    found = [base]
    for subclass in base.__subclasses__():
        found.extend(_subclasses(subclass))
    return found


def failure_from_code(code: str, detail: str = "") -> Failure:
    """Reconstruct a failure received from a peer.

    An unknown code, as a newer peer may send, becomes ``UnknownOutcome``,
    which makes no claim about whether the request ran.
    """
    for subclass in _subclasses(Failure):
        if subclass.code == code:
            return subclass(detail)
    return UnknownOutcome(f"{code}: {detail}")
