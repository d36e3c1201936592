"""Timeouts that do not take a late event loop for a silent peer.

After a pause of the process, or a long pass of its event loop, asyncio runs
the timers that are due before the tasks whose data has arrived meanwhile. Its
timeouts then end waits for replies that are already there.

``RunningTimeout`` limits a wait that may be prolonged: the time in which the
event loop was late does not count. ``TransferTimeout`` limits the pauses of a
transfer, however long all of it takes. ``Deadline`` limits a call that may not
be prolonged, and only lets it read what has arrived.

>>> async def fetch(reader):
...     with RunningTimeout(0.25):
...         return await reader.readline()
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import TracebackType
    from typing import Self

MAX_DELAY_S: Final = 0.02
"""Delay of the timers of a wait beyond which the event loop was late."""
PARTS: Final = 10
"""Parts of a timeout; their delays are added up."""
MAX_REPEATS: Final = 2
"""Maximum number of repeated parts of a timeout."""
READ_S: Final = 0.005
"""Time to read what had arrived when a timer fired late at a deadline."""


class OutsideOfTask(RuntimeError):
    """A timeout was entered where there is no task to cancel."""


class LateTimeout(TimeoutError):
    """The event loop was late, so the wait says nothing about the peer."""


def is_own_delay(exc: BaseException | None) -> bool:
    """Whether an exception was raised because of a ``LateTimeout``."""
    while exc is not None and not isinstance(exc, LateTimeout):
        exc = exc.__cause__
    return exc is not None


class _Scope:
    """Block whose task is cancelled when it expires.

    The cancellation leaves the block as ``TimeoutError``.
    """

    __slots__ = (
        "_cancellations",
        "_handle",
        "_is_expired",
        "_is_late",
        "_loop",
        "_task",
    )

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[object] | None = None
        self._cancellations = 0
        """Cancellations of the task before the block."""
        self._handle: asyncio.Handle | None = None
        self._is_expired = False
        self._is_late = False

    def __enter__(self) -> Self:
        self._task = asyncio.current_task()
        if self._task is None:
            raise OutsideOfTask
        self._cancellations = self._task.cancelling()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        if not self._is_expired or self._task is None:
            return
        is_only_expired = self._task.uncancel() <= self._cancellations
        if is_only_expired and isinstance(exc, asyncio.CancelledError):
            raise LateTimeout if self._is_late else TimeoutError from exc

    def expire(self, *, is_late: bool) -> None:
        """End the block, unless the task ends it with data that is there.

        Tasks that a socket has woken in this pass of the event loop run first.
        """
        self._is_late = is_late
        self._handle = self._loop.call_soon(self._cancel)

    def _cancel(self) -> None:
        if self._task is not None:
            self._is_expired = True
            self._task.cancel()


class RunningTimeout(_Scope):
    """Timeout that counts only the time in which the event loop runs.

    It is waited for in parts, whose timers show how late the event loop is.
    After ``MAX_DELAY_S`` of delay a part is repeated. Raises ``TimeoutError``,
    and ``LateTimeout`` if more parts would have to be repeated.
    """

    __slots__ = (
        "_delay_s",
        "_due_s",
        "_part_s",
        "_parts",
        "_repeats",
        "_timeout_s",
    )

    def __init__(self, timeout_s: float) -> None:
        super().__init__()
        self._timeout_s = timeout_s
        self._part_s = 0.0
        self._parts = PARTS
        self._repeats = MAX_REPEATS
        self._due_s = 0.0
        self._delay_s = 0.0
        """Delay of the timers since the last repeated part."""

    def __enter__(self) -> Self:
        super().__enter__()
        self._start(self._timeout_s)
        return self

    def _start(self, timeout_s: float) -> None:
        """Begin to wait, in place of the wait so far."""
        if self._handle is not None:
            self._handle.cancel()
        self._part_s = timeout_s / PARTS
        self._parts = PARTS
        self._repeats = MAX_REPEATS
        self._delay_s = 0.0
        self._is_late = False
        self._start_part()

    def _start_part(self) -> None:
        self._due_s = self._loop.time() + self._part_s
        self._handle = self._loop.call_at(self._due_s, self._end_part)

    def _end_part(self) -> None:
        self._delay_s += max(0.0, self._loop.time() - self._due_s)
        if self._delay_s > MAX_DELAY_S:
            if self._repeats:
                self._repeats -= 1
                self._delay_s = 0.0
                self._start_part()
                return
            self._is_late = True
        self._parts -= 1
        if self._parts:
            self._start_part()
        else:
            self.expire(is_late=self._is_late)


class TransferTimeout(RunningTimeout):
    """Timeout of a transfer that lasts as long as data arrives.

    Usage::

        with TransferTimeout(response_s, pause_s, min_rate) as timeout:
            async for chunk in response:
                timeout.receive(len(chunk))

    The wait ends when no data has arrived after ``response_s``, or later when
    none has arrived for ``pause_s``. It also ends when the data was slower
    than ``min_rate`` bytes a second by ``pause_s``, so that a peer cannot hold
    the call with a byte at a time.
    """

    __slots__ = ("_allowed_until_s", "_min_rate", "_pause_s")

    def __init__(
        self, response_s: float, pause_s: float, min_rate: float
    ) -> None:
        super().__init__(response_s)
        self._pause_s = pause_s
        self._min_rate = min_rate
        self._allowed_until_s = 0.0
        """Time until which the data so far allows the transfer to last."""

    def receive(self, size: int) -> None:
        """Record that bytes have arrived."""
        now_s = self._loop.time()
        if not self._allowed_until_s:
            self._allowed_until_s = now_s + self._pause_s
        self._allowed_until_s += size / self._min_rate
        left_s = self._allowed_until_s - now_s
        if left_s > 0:
            self._start(min(self._pause_s, left_s))


class Deadline:
    """Deadline of a call that waits several times, maybe in several tasks.

    Usage::

        with Deadline(timeout_s) as deadline:
            with deadline.limit():
                response = await send()
            with deadline.limit():
                body = await response.read()

    A wait that it ends raises ``TimeoutError``, or ``LateTimeout`` if the
    event loop was late. Then what had arrived may be read for ``read_s``.
    """

    __slots__ = (
        "_due_s",
        "_handle",
        "_is_late",
        "_is_over",
        "_loop",
        "_open",
        "_read_s",
    )

    def __init__(self, timeout_s: float, read_s: float = READ_S) -> None:
        self._read_s = read_s
        self._loop = asyncio.get_running_loop()
        self._due_s = self._loop.time() + timeout_s
        self._handle: asyncio.Handle | None = None
        self._open: set[_Scope] = set()
        self._is_late = False
        self._is_over = False

    def __enter__(self) -> Self:
        self._handle = self._loop.call_at(self._due_s, self._on_due)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()

    @contextmanager
    def limit(self) -> Iterator[None]:
        """End the waits of a block at the deadline.

        After it, raises at once, as a block may find enough data to never
        wait.
        """
        if self._is_over:
            raise LateTimeout if self._is_late else TimeoutError
        with _Scope() as scope:
            self._open.add(scope)
            try:
                yield
            finally:
                self._open.discard(scope)

    def _on_due(self) -> None:
        late_s = self._loop.time() - self._due_s
        self._is_late = late_s > MAX_DELAY_S
        if self._is_late:
            self._handle = self._loop.call_later(self._read_s, self._end)
        else:
            self._end()

    def _end(self) -> None:
        self._is_over = True
        for scope in self._open:
            scope.expire(is_late=self._is_late)
