"""Token stream of one request, across attempts and reattachments.

Tokens are numbered from 0 over the whole request. An attempt that replaces
another continues with the next number, so the caller sees each number once.

    >>> stream = TokenStream(attempt=1)
    >>> stream.accept(1, 1, "b"), stream.accept(1, 0, "a")
    ([], ['a', 'b'])
    >>> stream.accept(1, 0, "a"), stream.next_sequence
    ([], 2)
"""

from __future__ import annotations

from typing import Final

FIRST_SEQUENCE: Final = 0
MAX_HELD_TOKENS: Final = 1_024


class TokenStream:
    """Passes the tokens of the current attempt in order, each once."""

    __slots__ = (
        "_held",
        "_total",
        "attempt",
        "next_sequence",
        "overflowed",
        "passed",
    )

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.next_sequence = FIRST_SEQUENCE
        """Resume point: every lower number was passed on."""
        self.passed: list[str] = []
        """Text of the tokens passed on, in order."""
        self.overflowed = False
        """Early tokens were dropped; the stream needs a reattachment."""
        self._held: dict[int, str] = {}
        self._total: int | None = None

    @property
    def text(self) -> str:
        """Text passed on so far."""
        return "".join(self.passed)

    @property
    def is_whole(self) -> bool:
        """Whether the end was announced and every token was passed on."""
        return self._total == self.next_sequence

    def accept(self, attempt: int, sequence: int, text: str) -> list[str]:
        """Take a token and return the texts that may be passed on now.

        A token of another attempt, a duplicate and a number beyond the
        announced end are dropped. An early token is held back.
        """
        if attempt != self.attempt or sequence < self.next_sequence:
            return []
        if self._total is not None and sequence >= self._total:
            return []
        if sequence > self.next_sequence:
            self._hold(sequence, text)
            return []
        return self._pass_on(text)

    def end(self, attempt: int, tokens: int) -> None:
        """Note that ``tokens`` numbers were issued in all.

        A total below what was passed on is false and ignored, as is the end
        of another attempt.
        """
        if attempt == self.attempt and tokens >= self.next_sequence:
            self._total = tokens

    def restart(self, attempt: int) -> None:
        """Continue from the resume point, with this or a later attempt."""
        self.attempt = attempt
        self.overflowed = False
        self._held.clear()
        self._total = None

    def _hold(self, sequence: int, text: str) -> None:
        if len(self._held) >= MAX_HELD_TOKENS:
            self.overflowed = True
            return
        self._held.setdefault(sequence, text)

    def _pass_on(self, text: str) -> list[str]:
        ready = [text]
        sequence = self.next_sequence + 1
        while sequence in self._held:
            ready.append(self._held.pop(sequence))
            sequence += 1
        self.next_sequence = sequence
        self.passed.extend(ready)
        return ready
