"""Record types of the configuration document, one for each key prefix.

A record is stored as JSON under ``service/<name>``, ``engine/<name>``,
``schedule/<id>`` or ``account/<name>``.

    >>> record = AccountRecord("kiosk-7", requests_per_s=2.0)
    >>> AccountRecord.from_json(record.to_json()).unwrap() == record
    True
"""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final, Self

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.strictjson import InvalidField, parse_json

if TYPE_CHECKING:
    from collections.abc import Callable


class InvalidRecord(Failure):
    """A configuration record is malformed."""

    code = "invalid_record"
    http_status = 400


class Kind(StrEnum):
    """Kind of backend servers that a service runs on."""

    MODEL = "model"
    PLAIN = "plain"


class EngineRole(StrEnum):
    """Pool that a backend server is assigned to."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class Record:
    """Base class of the typed records; fields are stored by name."""

    name: str

    def to_json(self) -> str:
        """Serialise with sorted keys: equal records give equal text."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)

    @classmethod
    def from_json(cls, text: str) -> Result[Self, InvalidRecord]:
        """Parse a record; a missing field or another type is an error.

        Fields of later versions are skipped.
        """
        try:
            document: Any = parse_json(text)
            if not isinstance(document, dict):
                raise InvalidField(f"{type(document).__name__} is no object")
            known = {
                field.name: _checked(field, document[field.name])
                for field in dataclasses.fields(cls)
                if field.name in document
            }
            return Ok(cls(**known))
        except (TypeError, ValueError) as exc:
            return Err(InvalidRecord(f"{cls.__name__}: {exc}"))


def _checked(field: dataclasses.Field[Any], value: Any) -> Any:
    """Return the value of a field; raises ``InvalidField``."""
    if not _TYPE_CHECKS[str(field.type)](value):
        raise InvalidField(f"{field.name} is {value!r:.40}")
    return value


_TYPE_CHECKS: Final[dict[str, Callable[[Any], bool]]] = {
    "str": lambda value: isinstance(value, str),
    "int": lambda value: type(value) is int,
    "float": lambda value: type(value) in (int, float),
    "list[str]": lambda value: (
        isinstance(value, list)
        and all(isinstance(item, str) for item in value)
    ),
}
"""Checks of the field types of all records."""


@dataclass(slots=True, frozen=True)
class ServiceRecord(Record):
    """A service with its latency targets and limits."""

    kind: str = Kind.MODEL
    models: list[str] = field(default_factory=list)
    first_token_ms: int = 480
    """Target for the time from arrival at the entry to the first token."""
    token_gap_ms: int = 26
    """Target for the time between two output tokens."""
    answer_ms: int = 30_000
    """Target for the complete answer, and the default deadline."""
    priority: int = 5
    """From 0, which is served first, to 9."""
    waste_weight: float = 0.5
    """Weight of wasted prefill against goodput, from 0 to 1."""
    max_wait_ms: int = 0
    """Longest acceptable wait for the first token; 0: priority never ages."""
    max_output_tokens: int = 1_024
    max_in_flight: int = 0
    """Limit on concurrent requests at each entry; 0: not limited."""
    requests_per_s: float = 0.0
    """Limit on the request rate at each entry; 0: not limited."""
    retry_share: float = 0.1
    """Retry budget, as a share of recent requests."""
    non_idempotent: list[str] = field(default_factory=list)
    """Calls that must not run twice, as ``METHOD /path-prefix``."""
    claims_outage_policy: str = "memory"
    """Treatment of new claims while the claim log cannot be written.

    ``memory`` or ``refuse``; it applies to idempotent requests under keys that
    the caller made.
    """


@dataclass(slots=True, frozen=True)
class EngineRecord(Record):
    """A backend server and its agent."""

    service: str
    agent_address: str
    """``host:port`` of the agent's internal listener."""
    zone: str
    role: str = EngineRole.DECODE
    """Role while no schedule row applies."""
    model: str = ""
    slots: int = 20
    pieces: int = 200
    prefill_tokens_per_s: float = 20_000.0
    link: str = ""
    """Name of the shared link that carries the engine's KV cache transfers."""
    link_kb_per_s: int = 0
    """Rate of the link; 0: not limited."""


@dataclass(slots=True, frozen=True)
class ScheduleRecord(Record):
    """One row of the planners' sheet, in local time of its time zone."""

    day: str
    """ISO date or English weekday."""
    service: str
    engine: str
    role: str
    model: str
    starts: str
    """Local time ``HH:MM``."""
    ends: str
    """Local time ``HH:MM``; ``24:00`` is the end of the day."""
    time_zone: str
    """IANA time zone name."""


@dataclass(slots=True, frozen=True)
class AccountRecord(Record):
    """A caller's account and its limits at each entry."""

    requests_per_s: float = 0.0
    """Limit on the request rate; 0: not limited."""
    burst: int = 10
    max_in_flight: int = 0
    """Limit on concurrent requests; 0: not limited."""
    share: float = 1.0
    """Weight of the account in the fair shares of a busy service."""
