r"""Splits a server-sent event stream into complete events.

The id of the last complete event is kept, to resume the stream after it.

>>> events = EventSplitter()
>>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), events.last_id
(b'id: 1\ndata: a\n\n', '1')
>>> events.feed(b"ta: b\n\n"), events.last_id, events.incomplete
(b'id: 2\ndata: b\n\n', '2', b'')

Comments, which a server may send to keep a connection open, are no events:

>>> events.feed(b": ping\n\n"), events.count
(b': ping\n\n', 2)
"""

from __future__ import annotations

import re
from typing import Final

from gooseberrypost.gateway.transport import AnswerLost

MAX_EVENT_BYTES: Final = 256 * 1024
"""Largest event; one that grows beyond it fails the stream."""
_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_END_OVERLAP: Final = 3
"""Bytes of a separator that may stand before the bytes that complete it."""
_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_DATA: Final = re.compile(rb"(?:^|[\r\n])data[:\r\n]")


class EventTooLarge(AnswerLost):
    """A stream sent more than ``MAX_EVENT_BYTES`` without ending an event."""

    code = "event_too_large"


class EventSplitter:
    """Buffers stream bytes and returns only complete events."""

    __slots__ = ("_buffer", "count", "last_id")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id = ""
        """Id of the last complete event."""
        self.count = 0
        """Number of complete events that carry data."""

    @property
    def incomplete(self) -> bytes:
        """Bytes of an event whose end has not arrived yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises ``EventTooLarge`` if an event exceeds the limit.
        """
        buffer = self._buffer
        # The bytes before were searched already, but for a separator's start.
        searched = max(0, len(buffer) - _END_OVERLAP)
        buffer += data
        start = end = 0
        for match in _EVENT_END.finditer(buffer, searched):
            end = match.end()
            self.count += _DATA.search(buffer, start, end) is not None
            start = end
        complete = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"event exceeds {MAX_EVENT_BYTES} bytes")
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_incomplete(self) -> None:
        """Discard a partial event before the stream is resumed."""
        self._buffer.clear()
