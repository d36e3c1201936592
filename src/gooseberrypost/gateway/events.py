r"""Splits a server-sent event stream into complete events.

The id of the last complete event is kept, to resume the stream after it.

>>> events = EventSplitter()
>>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), events.last_id
(b'id: 1\ndata: a\n\n', '1')
>>> events.feed(b"ta: b\n\n"), events.last_id, events.incomplete
(b'id: 2\ndata: b\n\n', '2', b'')
"""

from __future__ import annotations

import re
from typing import Final

_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Buffers stream bytes and returns only complete events."""

    __slots__ = ("count", "incomplete", "last_id")

    def __init__(self) -> None:
        self.incomplete = b""
        """Bytes of an event whose end has not arrived yet."""
        self.last_id = ""
        """Id of the last complete event."""
        self.count = 0
        """Number of complete events."""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        data = self.incomplete + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        complete, self.incomplete = data[:end], data[end:]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_incomplete(self) -> None:
        """Discard a partial event before the stream is resumed."""
        self.incomplete = b""
