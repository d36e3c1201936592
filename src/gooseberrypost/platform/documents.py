"""Decodes the documents in the platform's store, and engines' reports.

The operator's configuration is used only if all of it is valid. A registration
that is invalid, or whose state is neither ready nor draining, is an error for
that entry alone; the other entries remain valid.
"""

from __future__ import annotations

import json
import re
from typing import Final

from result import Err, Ok, Result

from gooseberrypost.address import is_usable
from gooseberrypost.errors import Failure
from gooseberrypost.gateway.model import (
    ClientLimits,
    Configuration,
    EngineReport,
    EngineSpec,
    RequestKind,
    Route,
    Server,
    Service,
    Stage,
    StageOrder,
    Target,
)
from gooseberrypost.gateway.quarantine import CrashRecord, CrashReport
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.state.accounts import Account, Quota, QuotaUnit
from gooseberrypost.strictjson import Fields, InvalidField

_INSTANCE: Final = re.compile(r"[!-~]{1,128}")
"""Ids of servers, which are sent in a header."""


class InvalidDocument(Failure):
    """A document cannot be decoded."""

    code = "invalid_document"


def decode_configuration(
    content: bytes,
) -> Result[Configuration, InvalidDocument]:
    """Decode a configuration; one invalid part makes it invalid."""
    try:
        document = Fields.parse(content)
        services = [_service(entry) for entry in document.objects("services")]
        return Ok(
            Configuration(
                version=document.whole("version"),
                routes=tuple(map(_route, document.objects("routes"))),
                services={service.name: service for service in services},
                limits=_limits(document.object("limits") or Fields({})),
                accounts=tuple(map(_account, document.objects("tenants"))),
            )
        )
    except ValueError as exc:
        return Err(InvalidDocument(f"configuration: {exc!r}"))


def decode_server(
    instance: str, content: bytes, revision: int, era: int = 0
) -> Result[Server, InvalidDocument]:
    """Decode a server's registration, read in an era of the store.

    Another writer may have left an entry there. So each field must have its
    type, and be usable wherever it is used later: in a URL, in a header, in
    the store or in the arithmetic of loads.
    """
    try:
        document = Fields.parse(content)
        state = document.text("state")
        if state not in ("ready", "draining"):
            return Err(
                InvalidDocument(
                    f"server {instance!r}: state {state!r} is not usable"
                )
            )
        if _INSTANCE.fullmatch(instance) is None:
            return Err(InvalidDocument(f"server {instance!r}: invalid id"))
        return Ok(
            Server(
                instance=instance,
                service=document.text("service"),
                address=_address(document),
                zone=document.text("zone"),
                slots=document.whole("slots"),
                draining=state == "draining",
                stage=Stage(document.text("stage", "")),
                started_ms=document.whole("born", 0),
                revision=revision,
                era=era,
                writes=document.whole("sequence"),
                version=document.text("version"),
            )
        )
    except ValueError as exc:
        return Err(InvalidDocument(f"server {instance!r}: {exc!r}"))


def _address(document: Fields) -> str:
    """Return the address of a server; raises ``ValueError``."""
    address = document.text("address")
    if not is_usable(address):
        raise InvalidField(f"address {address[:60]!r} is not IP:PORT")
    return address


def _route(document: Fields) -> Route:
    targets = tuple(
        Target(part.text("service"), part.number("weight"))
        for part in document.objects("traffic_split")
    ) or (Target(document.text("service"), 1.0),)
    return Route(
        name=document.text("name"),
        host=document.text("host"),
        prefix=document.text("path_prefix"),
        kind=RequestKind(document.text("kind")),
        targets=targets,
        timeout_ms=document.whole("timeout_ms"),
        # The target covers the whole answer, or the first event of a stream.
        target_latency_ms=document.whole("target_latency_ms", 0),
        target_gap_ms=document.whole("target_gap_ms", 0),
        priority=document.whole("priority", 0),
        max_attempts=document.whole("max_attempts", 0) or 1,
        resumable=document.flag("resumable"),
        is_open=document.flag("anonymous"),
    )


def _service(document: Fields) -> Service:
    engine = document.object("engine")
    return Service(
        name=document.text("name"),
        engine=_engine(engine) if engine else None,
    )


def _engine(document: Fields) -> EngineSpec:
    return EngineSpec(
        slots=document.whole("slots", 0),
        kv_tokens=document.whole("kv_capacity_tokens", 0),
        tokens_per_event=document.whole("stride", 0) or 1,
        # The document states seconds.
        kv_retention_ms=int(document.number("kv_retention_s", 0) * 1_000),
    )


def _account(document: Fields) -> Account:
    priority = document.whole("priority", -1)
    name = document.text("name")
    if not name:
        # The empty name stands for a request without an account.
        raise InvalidField("account without a name")
    return Account(
        name=name,
        # The last key of an account may be taken away.
        keys=frozenset(document.texts("api_keys", ())),
        priority=None if priority < 0 else priority,
        quota=_quota(document),
    )


def _quota(document: Fields) -> Quota | None:
    """Return the quota of an account; None if it is not limited."""
    rate_per_s = document.number("rate_per_s", 0)
    if rate_per_s <= 0:
        return None
    counts_tokens = document.text("unit", "") == "token_count"
    return Quota(
        rate_per_s=rate_per_s,
        burst=document.number("burst", 0),
        unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
        default_tokens=document.number("uncached_tokens", 0),
    )


def _limits(document: Fields) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=document.whole("max_header_bytes", 0)
        or defaults.max_header_bytes,
        max_body_bytes=document.whole("max_body_bytes", 0)
        or defaults.max_body_bytes,
        header_timeout_ms=document.whole("header_timeout_ms", 0)
        or defaults.header_timeout_ms,
        idle_timeout_ms=document.whole("idle_timeout_ms", 0)
        or defaults.idle_timeout_ms,
    )


def decode_report(content: bytes) -> Result[EngineReport, InvalidDocument]:
    """Decode an engine's report.

    In a report ``sequence`` counts the orders that the engine has accepted; in
    a registration the same field counts the writes of the registration.
    """
    try:
        document = Fields.parse(content)
        return Ok(
            EngineReport(
                stage=Stage(document.text("stage", "")),
                is_busy=document.flag("busy"),
                accepted_orders=document.whole("sequence"),
                started_ms=document.whole("born", 0),
            )
        )
    except ValueError as exc:
        return Err(InvalidDocument(f"report: {exc!r}"))


def decode_stage_order(
    instance: str, content: bytes, revision: int
) -> Result[StageOrder, InvalidDocument]:
    """Decode the record of an order that a gateway is about to send."""
    try:
        document = Fields.parse(content)
        stage = Stage(document.text("stage"))
        return Ok(StageOrder(instance, stage, document.text("holder")))
    except ValueError as exc:
        return Err(
            InvalidDocument(
                f"stage order for {instance!r} at revision {revision}: {exc!r}"
            )
        )


def encode_stage_order(order: StageOrder) -> bytes:
    """Encode the record of an order."""
    record = {"stage": order.stage.value, "holder": order.holder}
    return json.dumps(record).encode()


def decode_crash(content: bytes) -> Result[CrashRecord, InvalidDocument]:
    """Decode what a gateway lost in the crash of a server."""
    try:
        document = Fields.parse(content)
        report = CrashReport(
            document.text("server"),
            {
                request: Suspect(
                    frozenset(lost.texts("parts")), lost.flag("begun")
                )
                for request, lost in document.entries("lost").items()
            },
            set(document.texts("cleared")),
        )
        return Ok(CrashRecord(report, document.whole("at_ms")))
    except ValueError as exc:
        return Err(InvalidDocument(f"crash: {exc!r}"))


def encode_crash(record: CrashRecord) -> bytes:
    """Encode a crash report; equal reports give equal bytes."""
    report = record.report
    document = {
        "server": report.server,
        "at_ms": record.at_ms,
        "lost": {
            request: {
                "parts": sorted(suspect.parts),
                "begun": suspect.has_begun,
            }
            for request, suspect in sorted(report.lost.items())
        },
        "cleared": sorted(report.cleared),
    }
    return json.dumps(document).encode()
