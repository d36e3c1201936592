r"""Events of a stream: whole ones are passed on, their ids are remembered.

>>> events = EventSplitter()
>>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), events.last_id
(b'id: 1\ndata: a\n\n', '1')
>>> events.feed(b"ta: b\n\n"), events.last_id, events.rest
(b'id: 2\ndata: b\n\n', '2', b'')
"""

from __future__ import annotations

import re
from typing import Final

_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Cuts the bytes of an event stream after its last whole event."""

    __slots__ = ("count", "last_id", "rest")

    def __init__(self) -> None:
        self.rest = b""
        """Bytes of an event that is not whole yet."""
        self.last_id = ""
        """Id of the last whole event."""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those up to the end of a whole event."""
        data = self.rest + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        whole, self.rest = data[:end], data[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def restart(self) -> None:
        """Drop a broken event; the next server begins with a whole one."""
        self.rest = b""
