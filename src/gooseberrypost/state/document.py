"""Encoding of the configuration document as the value of ``config/head``."""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from typing import Any, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.state.configuration import (
    AppliedChange,
    Document,
    RecordEntry,
)
from gooseberrypost.strictjson import InvalidField, parse_json

MAX_HEAD_BYTES: Final = 1_000_000
"""Largest value that the key-value service accepts under one key."""
MAX_UNCOMPRESSED_BYTES: Final = 3_500_000
"""Limit on the uncompressed text.

A whole configuration must fit into one protocol frame of at most 4 MiB.
"""
COMPRESS_ABOVE_BYTES: Final = 64 * 1024
"""Size above which the text is compressed."""
COMPRESSED_PREFIX: Final = "zlib:"


class ConfigurationTooLarge(NotRun):
    """The configuration exceeds the size of one value or one frame."""

    code = "configuration_too_large"
    http_status = 413


class InvalidConfiguration(Failure):
    """The value under ``config/head`` is not a valid configuration."""

    code = "invalid_configuration"


def format_document(document: Document) -> Result[str, ConfigurationTooLarge]:
    """Serialise a document to the value to store, compressed if large."""
    text = json.dumps(
        {
            "version": document.version,
            "floor": document.tombstone_floor,
            "applies": document.applied_changes,
            "records": document.entries,
            "removed": document.tombstones,
        },
        separators=(",", ":"),
    )
    if len(text) > MAX_UNCOMPRESSED_BYTES:
        return Err(
            ConfigurationTooLarge(
                f"{len(text)} bytes exceed {MAX_UNCOMPRESSED_BYTES}"
            )
        )
    if len(text) > COMPRESS_ABOVE_BYTES:
        packed = base64.b64encode(zlib.compress(text.encode())).decode()
        text = COMPRESSED_PREFIX + packed
    if len(text) > MAX_HEAD_BYTES:
        return Err(
            ConfigurationTooLarge(f"{len(text)} bytes exceed {MAX_HEAD_BYTES}")
        )
    return Ok(text)


def parse_head(text: str) -> Result[Document, InvalidConfiguration]:
    """Parse the stored value; empty text (an absent key) is version 0."""
    if not text:
        return Ok(Document())
    try:
        found: Any = parse_json(_unpack(text))
        return Ok(
            Document(
                _version(found["version"]),
                {
                    _text(key): RecordEntry(_text(text), _version(version))
                    for key, (text, version, *_) in found["records"].items()
                },
                {
                    _text(key): _version(version)
                    for key, version in found["removed"].items()
                },
                _version(found["floor"]),
                tuple(
                    AppliedChange(_text(apply_id), _version(version))
                    for apply_id, version, *_ in found["applies"]
                ),
            )
        )
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
        zlib.error,
    ) as exc:
        return Err(InvalidConfiguration(repr(exc)))


def _version(value: Any) -> int:
    """Return a version; raises ``InvalidField``."""
    if type(value) is not int or value < 0:
        raise InvalidField(f"version {value!r:.40}")
    return value


def _text(value: Any) -> str:
    """Return a text that can be sent on; raises ``InvalidField``."""
    if not isinstance(value, str):
        raise InvalidField(f"text {value!r:.40}")
    value.encode()
    return value


def _unpack(text: str) -> str:
    if not text.startswith(COMPRESSED_PREFIX):
        return text
    packed = base64.b64decode(text.removeprefix(COMPRESSED_PREFIX))
    plain = zlib.decompressobj().decompress(packed, 2 * MAX_UNCOMPRESSED_BYTES)
    return plain.decode()
