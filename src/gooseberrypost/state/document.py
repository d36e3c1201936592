"""The configuration document as the value of ``config/head``."""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from typing import Any, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.state.configuration import AppliedChange, Document, Entry

MAX_HEAD_BYTES: Final = 1_000_000
"""Largest value that the key-value service keeps under one key."""
MAX_PLAIN_BYTES: Final = 3_500_000
"""A whole configuration travels in one frame of at most 4 MiB."""
COMPRESS_ABOVE_BYTES: Final = 64 * 1024
COMPRESSED_PREFIX: Final = "zlib:"


class ConfigurationTooLarge(NotRun):
    """The configuration does not fit into one value or frame."""

    code = "configuration_too_large"
    http_status = 413


class InvalidConfiguration(Failure):
    """The value under ``config/head`` is not a configuration."""

    code = "invalid_configuration"


def format_document(document: Document) -> Result[str, ConfigurationTooLarge]:
    """Text for the key-value service; a large one is compressed."""
    text = json.dumps(
        {
            "version": document.version,
            "floor": document.floor,
            "applies": document.applies,
            "records": document.entries,
            "removed": document.tombstones,
        },
        separators=(",", ":"),
    )
    if len(text) > MAX_PLAIN_BYTES:
        return Err(
            ConfigurationTooLarge(f"{len(text)} bytes over {MAX_PLAIN_BYTES}")
        )
    if len(text) > COMPRESS_ABOVE_BYTES:
        packed = base64.b64encode(zlib.compress(text.encode())).decode()
        text = COMPRESSED_PREFIX + packed
    if len(text) > MAX_HEAD_BYTES:
        return Err(
            ConfigurationTooLarge(f"{len(text)} bytes over {MAX_HEAD_BYTES}")
        )
    return Ok(text)


def parse_head(text: str) -> Result[Document, InvalidConfiguration]:
    """Parse the value; an empty one, of an absent key, is version 0."""
    if not text:
        return Ok(Document())
    try:
        found: Any = json.loads(_unpack(text))
        return Ok(
            Document(
                int(found["version"]),
                {k: Entry(*e) for k, e in found["records"].items()},
                dict(found["removed"]),
                int(found["floor"]),
                tuple(AppliedChange(*a) for a in found["applies"]),
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


def _unpack(text: str) -> str:
    if not text.startswith(COMPRESSED_PREFIX):
        return text
    packed = base64.b64decode(text.removeprefix(COMPRESSED_PREFIX))
    plain = zlib.decompressobj().decompress(packed, 2 * MAX_PLAIN_BYTES)
    return plain.decode()
