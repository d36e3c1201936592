"""Conversion of configuration deltas to and from protocol messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from gooseberrypost.errors import Failure, ProtocolFailure
from gooseberrypost.state.configuration import Delta, RecordEntry
from gooseberrypost.wire.channel import failure_from_refusal
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.wire.channel import ChannelPool


def delta_message(delta: Delta, hello: Any) -> Any:
    """Encode a delta as a ``ConfigDelta`` with the sender's identity."""
    return idl.ConfigDelta(
        version=delta.version,
        records=[
            idl.Record(key=k, value=e.text, version=e.version)
            for k, e in delta.records.items()
        ],
        removed=delta.removed,
        since_version=delta.since,
        process_kind=hello.process_kind,
        name=hello.name,
        zone=hello.zone,
    )


def parse_delta(message: Any) -> Result[Delta, ProtocolFailure]:
    """Decode and check a ``ConfigDelta``."""
    records = message.records or []
    if message.version is None or message.since_version is None:
        return Err(
            ProtocolFailure("ConfigDelta lacks version or since_version")
        )
    for record in records:
        if None in (record.key, record.value, record.version):
            return Err(
                ProtocolFailure(
                    "ConfigDelta has a record without key, value or version"
                )
            )
    return Ok(
        Delta(
            message.version,
            message.since_version,
            {r.key: RecordEntry(r.value, r.version) for r in records},
            list(message.removed or []),
        )
    )


async def pull(
    pool: ChannelPool, address: str, since: int, timeout_ms: float
) -> Result[Any, Failure]:
    """Request the changes after a version from a peer."""
    message = idl.ConfigPull(since_version=since)
    reply = await pool.request(address, message, timeout_ms)
    return reply.and_then(_config_delta)


def _config_delta(message: Any) -> Result[Any, Failure]:
    failure = failure_from_refusal(message)
    if failure is not None:
        return Err(failure)
    if not isinstance(message, idl.ConfigDelta):
        name = type(message).__name__
        return Err(ProtocolFailure(f"{name} in reply to ConfigPull"))
    return Ok(message)
