"""Decodes what the operator and the servers write into the store.

A document of the operator is valid as a whole or not used. An entry that
names no server to use gives an error, and the others hold.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

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

if TYPE_CHECKING:
    from collections.abc import Mapping


class InvalidDocument(Failure):
    """A value in the store cannot be decoded."""

    code = "invalid_document"


def decode_configuration(
    content: bytes,
) -> Result[Configuration, InvalidDocument]:
    """Decode a configuration in full."""
    try:
        found = json.loads(content)
        return Ok(
            Configuration(
                version=int(found["version"]),
                routes=tuple(_route(one) for one in found["routes"]),
                services={
                    service.name: service
                    for service in map(_service, found["services"])
                },
                limits=_limits(found.get("limits") or {}),
            )
        )
    except (ValueError, TypeError, LookupError, AttributeError) as exc:
        return Err(InvalidDocument(f"configuration: {exc!r}"))


def decode_server(
    instance: str, content: bytes, revision: int
) -> Result[Server, InvalidDocument]:
    """Decode the registration of a server."""
    try:
        found = json.loads(content)
        state = found["state"]
        if state not in ("ready", "draining"):
            return Err(InvalidDocument(f"server {instance}: state {state!r}"))
        service, address = found["service"], found["address"]
        if not (isinstance(service, str) and isinstance(address, str)):
            return Err(InvalidDocument(f"server {instance}: field types"))
        return Ok(
            Server(
                instance=instance,
                service=service,
                address=address,
                zone=str(found.get("zone", "")),
                slots=int(found["slots"]),
                draining=state == "draining",
                stage=Stage(found.get("stage") or ""),
                born_ms=int(found.get("born") or 0),
                revision=revision,
            )
        )
    except (ValueError, TypeError, LookupError, AttributeError) as exc:
        return Err(InvalidDocument(f"server {instance}: {exc!r}"))


def _route(found: Mapping[str, Any]) -> Route:
    split = found.get("traffic_split")
    if split:
        targets = tuple(
            Target(one["service"], float(one["weight"])) for one in split
        )
    else:
        targets = (Target(found["service"], 1.0),)
    return Route(
        name=str(found["name"]),
        host=str(found["host"]),
        prefix=str(found["path_prefix"]),
        kind=RequestKind(found["kind"]),
        targets=targets,
        timeout_ms=int(found["timeout_ms"]),
        # Up to the whole answer, or to the first event of a stream.
        latency_ms=int(found.get("target_latency_ms") or 0),
        gap_ms=int(found.get("target_gap_ms") or 0),
        priority=int(found.get("priority") or 0),
        max_attempts=int(found.get("max_attempts") or 1),
        resumable=bool(found.get("resumable")),
    )


def _service(found: Mapping[str, Any]) -> Service:
    engine = found.get("engine")
    return Service(
        name=str(found["name"]),
        engine=_engine(engine) if engine else None,
    )


def _engine(found: Mapping[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=int(found.get("slots") or 0),
        kv_tokens=int(found.get("kv_capacity_tokens") or 0),
        event_tokens=int(found.get("stride") or 1),
        # In seconds on the wire.
        handle_ms=int(float(found.get("kv_retention_s") or 0) * 1_000),
    )


def _limits(found: Mapping[str, Any]) -> ClientLimits:
    known = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(
            found.get("max_header_bytes") or known.max_header_bytes
        ),
        max_body_bytes=int(
            found.get("max_body_bytes") or known.max_body_bytes
        ),
        header_timeout_ms=int(
            found.get("header_timeout_ms") or known.header_timeout_ms
        ),
        idle_timeout_ms=int(
            found.get("idle_timeout_ms") or known.idle_timeout_ms
        ),
    )


def decode_report(content: bytes) -> Result[EngineReport, InvalidDocument]:
    """Decode an engine's report.

    ``sequence`` counts accepted orders here; in a registration it counts the
    registration's own writes.
    """
    try:
        found = json.loads(content)
        return Ok(
            EngineReport(
                stage=Stage(found.get("stage") or ""),
                is_busy=bool(found.get("busy")),
                orders=int(found["sequence"]),
            )
        )
    except (ValueError, TypeError, LookupError, AttributeError) as exc:
        return Err(InvalidDocument(f"report: {exc!r}"))


def decode_stage_order(
    instance: str, content: bytes, at: int
) -> Result[StageOrder, InvalidDocument]:
    """Decode the note of an order that a gateway is about to give."""
    try:
        found = json.loads(content)
        stage, holder = Stage(found["stage"]), str(found["holder"])
        return Ok(StageOrder(instance, stage, holder))
    except (ValueError, TypeError, LookupError) as exc:
        return Err(InvalidDocument(f"order for {instance} at {at}: {exc!r}"))


def encode_stage_order(order: StageOrder) -> bytes:
    """Encode the note of an order."""
    note = {"stage": order.stage.value, "holder": order.holder}
    return json.dumps(note).encode()
