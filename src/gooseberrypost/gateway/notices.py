"""Decodes and checks the load notices of other gateways.

A notice comes from any sender that reaches the port, so a field may be
missing or out of range. Such a notice is rejected as a whole.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import zip_longest
from typing import TYPE_CHECKING, Any, Final

from result import Err

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.quarantine import CrashReport
from gooseberrypost.policy.accountuse import (
    AccountsNotice,
    AccountUse,
    Refused,
)
from gooseberrypost.policy.enginememory import RunSize
from gooseberrypost.policy.queueorder import QueueRanks
from gooseberrypost.policy.serverlimit import LimitNotice
from gooseberrypost.policy.serverload import PeerLoad
from gooseberrypost.policy.serverpace import PaceReport
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.wire.codec import LENGTH_BYTES, decode
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.serverload import ServerLoad, ServerLoads
    from gooseberrypost.policy.workrouting import WorkRouting

NOTHING_REFUSED: Final = Refused(0.0, 0)
"""Stands for an account of which no request was just refused."""
PART_SEPARATOR: Final = ","
"""Separates the parts of one prompt in a notice."""
MAX_WORK_MS: Final = 2**31 - 1
"""Largest work that a notice can name."""


class NoticeInvalid(Failure):
    """A datagram is no load notice, or has a field out of range."""

    code = "notice_invalid"


@dataclass(slots=True, frozen=True)
class Notice:
    """Load of one gateway, as it was at the time of sending."""

    name: str
    """Gateway that sent the notice."""
    incarnation: int
    """Random number of one start of the sender."""
    sequence: int
    """Increases with each notice of an incarnation."""
    loads: dict[str, PeerLoad]
    """Load of the sender on each server, by server identity."""
    waiting: int
    """Generations that wait for memory at the sender."""
    outputs: dict[str, float]
    """Typical output tokens by service."""
    ranks_ms: QueueRanks
    """Queue ranks of the sender's first waiting generations."""
    unreachable: tuple[str, ...]
    """Identities of servers that the sender could not reach."""
    crashes: tuple[CrashReport, ...]
    """Recent reports of the sender on crashed servers."""
    convictions: dict[str, int]
    """Wall-clock time in ms at which content was convicted, by content."""
    limits: tuple[LimitNotice, ...]
    """Rate limits of servers that the sender got from answers."""
    streams: dict[str, str]
    """Software version that began each of the sender's recent streams."""
    versions: dict[str, set[str]]
    """Software versions of each service of which the sender knows several."""
    accounts: AccountsNotice
    """Use of client accounts at the sender."""
    configuration_version: int = 0
    """Version of the sender's configuration; 0 if it does not report one."""


def decode_notice(data: bytes) -> Notice:
    """Decode a datagram; raises ``NoticeInvalid``."""
    decoded = decode(data[LENGTH_BYTES:])
    if isinstance(decoded, Err):
        raise NoticeInvalid(decoded.err_value.detail)
    message = decoded.ok_value.message
    if not isinstance(message, idl.LoadNotice):
        raise NoticeInvalid(f"{type(message).__name__} instead of LoadNotice")
    try:
        return _notice(message)
    except (TypeError, AttributeError) as exc:
        raise NoticeInvalid(f"missing field: {exc}") from exc


def encode_server_loads(
    loads: ServerLoads,
    work: WorkRouting | None,
    now_s: float,
    *,
    has_paces: bool = True,
) -> list[Any]:
    """Return the part of a notice that describes the load on servers.

    With paces, servers without load are listed too if theirs is worth telling.
    """
    listed = {
        identity: load
        for identity, load in loads.items()
        if load.outstanding or load.runs
    }
    if work is None:
        return [
            encode_server_load(identity, load)
            for identity, load in listed.items()
        ]
    paces, prefill_paces = (
        work.reports(listed, now_s) if has_paces else ({}, {})
    )
    for identity in paces.keys() | prefill_paces.keys():
        if identity not in listed:
            listed[identity] = loads.of(identity)
    return [
        encode_server_load(
            identity,
            load,
            work.own_left_ms(identity, now_s),
            paces.get(identity),
            prefill_paces.get(identity),
        )
        for identity, load in listed.items()
    ]


def encode_server_load(
    identity: str,
    load: ServerLoad,
    work_ms: float | None = None,
    pace: PaceReport | None = None,
    prefill_pace: PaceReport | None = None,
) -> Any:
    """Return the part of a notice that describes the load on one server."""
    sizes = [run.size for run in load.runs]
    return idl.ServerLoadNotice(
        identity=identity,
        outstanding=load.outstanding,
        prefill_tokens=load.prefill_tokens,
        run_tokens=[size.tokens for size in sizes],
        run_produced=[size.produced for size in sizes],
        run_expected=[size.expected for size in sizes],
        run_limit=[size.max_output for size in sizes],
        work_ms=None if work_ms is None else min(round(work_ms), MAX_WORK_MS),
        **_encode_pace("pace", pace),
        **_encode_pace("prefill_pace", prefill_pace),
    )


def _encode_pace(name: str, report: PaceReport | None) -> dict[str, float]:
    if report is None:
        return {}
    answers = max(1, round(report.answers))
    return {name: report.pace, f"{name}_answers": answers}


def _notice(message: Any) -> Notice:
    return Notice(
        _text(message.name),
        _number(message.incarnation),
        _number(message.sequence),
        {
            server.identity: PeerLoad(
                _count(server.outstanding),
                _count(server.prefill_tokens),
                _run_sizes(server),
                None if server.work_ms is None else _count(server.work_ms),
                _pace(server.pace, server.pace_answers),
                _pace(server.prefill_pace, server.prefill_pace_answers),
            )
            for server in message.servers
        },
        _count(message.waiting or 0),
        {
            output.service_name: _non_negative(output.tokens)
            for output in message.outputs or ()
        },
        _ranks(message),
        tuple(message.gone or ()),
        tuple(
            CrashReport(
                _text(crash.server),
                _lost(crash),
                set(map(_text, crash.cleared)),
            )
            for crash in message.crashes or ()
        ),
        {
            _text(conviction.content): _count(conviction.convicted_ms)
            for conviction in message.convictions or ()
        },
        tuple(map(_limit, message.limits or ())),
        {
            _text(stream.stream): _version(stream)
            for stream in message.streams or ()
        },
        {
            _text(service.service_name): set(service.versions)
            for service in message.versions or ()
        },
        accounts=AccountsNotice(
            _number(message.incarnation), _account_uses(message)
        ),
        configuration_version=_count(message.configuration_version or 0),
    )


def _pace(pace: float | None, answers: int | None) -> PaceReport | None:
    """Return a reported pace, None if there is none."""
    if pace is None or answers is None:
        return None
    if not 0 < pace < math.inf:
        raise NoticeInvalid(f"pace {pace} is out of range")
    return PaceReport(pace, _count(answers))


def _version(stream: Any) -> str:
    """Return the version of a stream; raises if it is missing."""
    if stream.version is None:
        raise NoticeInvalid("stream without a version")
    return stream.version


def encode_stream(stream: str, version: str) -> Any:
    """Return the part of a notice that describes a stream."""
    return idl.StreamNotice(stream=stream, version=version)


def encode_versions(service: str, versions: set[str]) -> Any:
    """Return the part of a notice that names the versions of a service."""
    return idl.VersionsNotice(service_name=service, versions=sorted(versions))


def encode_crash(report: CrashReport) -> Any:
    """Return the part of a notice that describes a crash."""
    return idl.CrashNotice(
        server=report.server,
        lost=list(report.lost),
        parts=[
            PART_SEPARATOR.join(sorted(suspect.parts))
            for suspect in report.lost.values()
        ],
        begun=[
            request
            for request, suspect in report.lost.items()
            if suspect.has_begun
        ],
        cleared=sorted(report.cleared),
    )


def encode_conviction(content: str, convicted_ms: int) -> Any:
    """Return the part of a notice that describes a conviction."""
    return idl.ConvictionNotice(content=content, convicted_ms=convicted_ms)


def encode_limit(notice: LimitNotice) -> Any:
    """Return the part of a notice that describes a server's rate limit."""
    return idl.ServerLimitNotice(
        identity=notice.identity,
        per_s=notice.per_s,
        age_ms=notice.age_ms,
        sent=notice.sent,
        counted_ms=notice.counted_ms,
    )


def encode_accounts(uses: Sequence[AccountUse]) -> dict[str, Any]:
    """Return the fields of a notice that describe the use of accounts.

    They are parallel lists, as decoding structs costs several times as much.
    """
    if not uses:
        return {}
    fields: dict[str, Any] = {
        "accounts": [use.account for use in uses],
        "account_admitted": [use.admitted for use in uses],
        "account_levels": [
            math.inf if use.level is None else use.level for use in uses
        ],
        "account_counted_ms": [use.counted_ms for use in uses],
    }
    if any(use.refused for use in uses):
        refused = [use.refused or NOTHING_REFUSED for use in uses]
        fields["account_refused"] = [one.cost for one in refused]
        fields["account_refused_priority"] = [one.priority for one in refused]
    return fields


def _account_uses(message: Any) -> tuple[AccountUse, ...]:
    """Return the use of accounts; none if the sender does not report it."""
    lists = (
        message.accounts,
        message.account_admitted,
        message.account_levels,
        message.account_counted_ms,
    )
    if None in lists:
        return ()
    count = len(message.accounts)
    costs = message.account_refused or [0.0] * count
    priorities = message.account_refused_priority or [0] * count
    lists = (*lists, costs, priorities)
    if any(len(values) != count for values in lists):
        raise NoticeInvalid("lists of accounts differ in length")
    return tuple(
        AccountUse(
            _text(account),
            _non_negative(admitted),
            _level(level),
            _count(counted_ms),
            Refused(_non_negative(cost), priority) if cost else None,
        )
        for account, admitted, level, counted_ms, cost, priority in zip(
            *lists, strict=True
        )
    )


def _level(value: float) -> float | None:
    """Return a level, which is negative in debt; None if it is unknown."""
    if value == math.inf:
        return None
    if not math.isfinite(value):
        raise NoticeInvalid(f"{value} is out of range")
    return value


def _limit(limit: Any) -> LimitNotice:
    return LimitNotice(
        _text(limit.identity),
        None if limit.per_s is None else _non_negative(limit.per_s),
        None if limit.age_ms is None else _count(limit.age_ms),
        _count(limit.sent),
        _count(limit.counted_ms),
    )


def _run_sizes(server: Any) -> list[RunSize]:
    return [
        RunSize(*map(_count, fields))
        for fields in zip(
            server.run_tokens,
            server.run_produced,
            server.run_expected,
            server.run_limit,
            strict=False,
        )
    ]


def _number(value: int | None) -> int:
    """Return a number; raises ``NoticeInvalid`` if it is missing."""
    if value is None:
        raise NoticeInvalid("missing number")
    return value


def _count(value: int) -> int:
    """Return a count; raises ``NoticeInvalid`` if it is negative."""
    if value < 0:
        raise NoticeInvalid(f"{value} is negative")
    return value


def _lost(crash: Any) -> dict[str, Suspect]:
    """Return the lost requests; without parts where the sender names none."""
    begun = set(crash.begun or ())
    return {
        _text(request): Suspect(
            frozenset(filter(None, parts.split(PART_SEPARATOR))),
            request in begun,
        )
        for request, parts in zip_longest(
            crash.lost, (crash.parts or ())[: len(crash.lost)], fillvalue=""
        )
    }


def _text(value: str) -> str:
    """Return a string; raises ``NoticeInvalid`` if it is missing or empty."""
    if not value:
        raise NoticeInvalid("empty identity or digest")
    return value


def _non_negative(value: float) -> float:
    """Return a number; raises ``NoticeInvalid`` if below 0 or infinite."""
    if not 0 <= value < math.inf:
        raise NoticeInvalid(f"{value} is out of range")
    return value


def _ranks(message: Any) -> QueueRanks:
    if message.turns is None:
        # The sender does not tell services apart.
        return QueueRanks({}, message.turn_ms)
    return QueueRanks(
        {_text(turn.service_name): int(turn.rank_ms) for turn in message.turns}
    )
