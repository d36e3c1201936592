r"""Finds the bytes of one HTTP answer on a connection, within limits.

A faulty server may send bytes that are no answer, also without end, or more
bytes after a complete answer. These belong to no request and are dropped, so
that they do not spoil the answer before them.

>>> frame = AnswerFrame()
>>> frame.feed(b"HTTP/1.1 200 OK\r\nContent-Le")
b''
>>> frame.feed(b"ngth: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
>>> frame.feed(b"more"), frame.is_complete
(b'', True)
"""

from __future__ import annotations

import re
from typing import Final

import aiohttp

MAX_HEAD_BYTES: Final = 64 * 1024
"""Largest head of an answer, with the interim answers before it."""
MAX_FRAMING_BYTES: Final = 64 * 1024
"""Most bytes in a row that add nothing to the body, such as trailers."""
MAX_SHOWN_BYTES: Final = 64
"""Most bytes of an invalid line of a head that its failure shows."""
_PREFIX: Final = b"HTTP/1."
_HEAD_END: Final = re.compile(rb"\r?\n\r?\n")
_INTERIM: Final = re.compile(rb"HTTP/1\.\d 1(?!01)\d\d\b")
_FINAL: Final = re.compile(rb"HTTP/1\.\d [2-5]\d\d(?!\d)")
"""Status line of an answer; 101 is none, as no upgrade is asked for."""
_FIELD_LINE: Final = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*"
)
"""Line of a head: a name without spaces; no control characters but tabs."""
_BODY_LENGTH: Final = re.compile(
    rb"^content-length:[ \t]*(\d{1,18})[ \t]*\r?$",
    re.IGNORECASE | re.MULTILINE,
)
_ENCODED: Final = re.compile(
    rb"^transfer-encoding:", re.IGNORECASE | re.MULTILINE
)


class FramingTooLarge(aiohttp.ClientPayloadError):
    """A server sends bytes without end that are no part of a body."""


class InvalidHead(aiohttp.ClientPayloadError):
    """A server sends a head that is none of an answer."""


class InvalidStatus(InvalidHead):
    """The status is none of an answer."""


class InvalidField(InvalidHead):
    """A line below the status line names no field."""


class AnswerFrame:
    """Passes on the bytes of the first final answer on a connection."""

    __slots__ = (
        "_framing_bytes",
        "_head",
        "_head_bytes",
        "_is_passed_on",
        "_left",
    )

    def __init__(self) -> None:
        self._head = bytearray()
        self._head_bytes = 0
        self._is_passed_on = False
        """Whether the head has ended, or is no head of an answer."""
        self._left: int | None = None
        """Bytes of the body that are due; None if not known."""
        self._framing_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has arrived, as far as that is known."""
        return self._is_passed_on and self._left == 0

    def feed(self, data: bytes) -> bytes:
        """Return the received bytes that belong to the answer so far.

        Raises ``FramingTooLarge`` if the head has no end, and
        ``InvalidHead`` if it is of no answer.
        """
        if self._is_passed_on:
            return self._trim(data)
        self._head += data
        passed_on = bytearray()
        while not self._is_passed_on:
            is_answer = self._head.startswith(_PREFIX[: len(self._head)])
            end = _HEAD_END.search(self._head)
            if is_answer and end is None:
                self._check_head(len(self._head))
                return bytes(passed_on)
            head_end = end.end() if is_answer and end is not None else 0
            head = bytes(self._head[:head_end])
            passed_on += head
            del self._head[:head_end]
            self._check_head(head_end)
            self._head_bytes += head_end
            if is_answer and _INTERIM.match(head):
                continue
            if is_answer:
                _check_lines(head)
            self._is_passed_on = True
            length = _BODY_LENGTH.search(head)
            if length is not None and not _ENCODED.search(head):
                self._left = int(length[1])
        rest, self._head = bytes(self._head), bytearray()
        return bytes(passed_on) + self._trim(rest)

    def count_framing(self, received: int, *, has_body: bool) -> None:
        """Count bytes of a body of unknown length that were parsed.

        ``has_body`` states whether they added to the body. Raises
        ``FramingTooLarge`` if too many in a row did not.
        """
        if has_body or self._left is not None:
            self._framing_bytes = 0
            return
        self._framing_bytes += received
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise FramingTooLarge(
                f"{self._framing_bytes} bytes without a body"
            )

    def _check_head(self, size: int) -> None:
        if self._head_bytes + size > MAX_HEAD_BYTES:
            raise FramingTooLarge(f"head exceeds {MAX_HEAD_BYTES} bytes")

    def _trim(self, data: bytes) -> bytes:
        """Return the part of the data that belongs to the body."""
        if self._left is None:
            return data
        data = data[: self._left]
        self._left -= len(data)
        return data


def _check_lines(head: bytes) -> None:
    r"""Raise ``InvalidHead`` unless each line of a head is one of HTTP.

    The parser lets some others pass, which a client reads in its own way or
    not at all.

    >>> _check_lines(b"HTTP/1.1 200 OK\r\nServer: a\r\n\r\n")
    >>> _check_lines(b"HTTP/1.1 200 OK\r\nServer : a\r\n\r\n")
    Traceback (most recent call last):
    gooseberrypost.answerframe.InvalidField: line b'Server : a'
    """
    status_line, *lines = re.split(rb"\r?\n", head)
    if not _FINAL.match(status_line):
        raise InvalidStatus(f"status line {status_line[:MAX_SHOWN_BYTES]!r}")
    for line in filter(None, lines):
        if not _FIELD_LINE.fullmatch(line):
            raise InvalidField(f"line {line[:MAX_SHOWN_BYTES]!r}")
