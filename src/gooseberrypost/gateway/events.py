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
MAX_ID_DIGITS: Final = 18
"""Longest id that is compared as a number."""
FIRST_ID: Final = "1"
"""Id of the first event where ids count the events."""
_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_END_OVERLAP: Final = 3
"""Bytes of a separator that may stand before the bytes that complete it."""
_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_FIELD: Final = re.compile(rb":|[a-z][a-z0-9-]*:|(?:data|event|id|retry)$")
"""Start of a comment or field; names of fields have lower case."""
_DATA: Final = re.compile(rb"(?:^|[\r\n])data[:\r\n]")


class EventTooLarge(AnswerLost):
    """A stream sent more than ``MAX_EVENT_BYTES`` without ending an event."""

    code = "event_too_large"


class ContinuationBroken(AnswerLost):
    """What a server sent does not continue the stream before it."""

    code = "continuation_broken"


class EventSplitter:
    """Buffers stream bytes and returns only complete events."""

    __slots__ = ("_buffer", "_continues", "count", "ids_count", "last_id")

    def __init__(
        self, last_id: str = "", *, ids_count: bool | None = None
    ) -> None:
        self._buffer = bytearray()
        self.last_id = last_id
        """Id of the last complete event."""
        self.count = 0
        """Number of complete events that carry data."""
        self.ids_count = ids_count
        """Whether each id is the one before it plus 1; None if not known."""
        self._continues = False
        """Whether the bytes have to continue the events before them."""

    @property
    def incomplete(self) -> bytes:
        """Bytes of an event whose end has not arrived yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises ``EventTooLarge`` if an event exceeds the limit, and
        ``ContinuationBroken`` if one does not continue the stream.
        """
        buffer = self._buffer
        # The bytes before were searched already, but for a separator's start.
        searched = max(0, len(buffer) - _END_OVERLAP)
        buffer += data
        start = end = count = 0
        last_id = self.last_id
        for match in _EVENT_END.finditer(buffer, searched):
            end = match.end()
            event = bytes(buffer[start:end])
            has_data = _DATA.search(event) is not None
            ids = [id_.decode("latin-1") for id_ in _ID.findall(event)]
            if self._continues:
                _check_lines(event, is_named=bool(ids) or not has_data)
            for event_id in ids:
                self._check_order(last_id, event_id)
                last_id = event_id
            count += has_data
            start = end
        complete = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"event exceeds {MAX_EVENT_BYTES} bytes")
        self.count += count
        self.last_id = last_id
        return complete

    def _check_order(self, last_id: str, event_id: str) -> None:
        """Check or record how an id follows the one before it.

        Raises ``ContinuationBroken`` if an event of a continued stream comes
        twice, or if one is missing where the ids count the events.
        """
        step = _step(last_id, event_id)
        if self._continues:
            is_later = event_id != last_id if step is None else step > 0
            if not is_later or (self.ids_count and step != 1):
                raise ContinuationBroken(
                    f"event {event_id!r:.40} after {last_id!r:.40}"
                )
        elif last_id:
            self.ids_count = step == 1 and self.ids_count is not False
        else:
            self.ids_count = True if event_id == FIRST_ID else None

    def begin_attempt(self) -> bool:
        """Expect the bytes of another answer, from its first one on.

        Returns whether they have to continue the events before them. Each
        event then needs an id that follows, as another server may answer with
        something else.
        """
        self._buffer.clear()
        self._continues = bool(self.count or self.last_id)
        return self._continues


def _step(last_id: str, event_id: str) -> int | None:
    """Return the difference of two ids; None if they are not numbers."""
    ids = (last_id, event_id)
    if not all(id_.isdecimal() and len(id_) <= MAX_ID_DIGITS for id_ in ids):
        return None
    return int(event_id) - int(last_id)


def _check_lines(event: bytes, *, is_named: bool) -> None:
    """Raise ``ContinuationBroken`` if this is no event, or lacks an id."""
    for line in event.splitlines():
        if line and not _FIELD.match(line):
            raise ContinuationBroken(f"no line of an event: {line[:40]!r}")
    if not is_named:
        raise ContinuationBroken("event without an id")
