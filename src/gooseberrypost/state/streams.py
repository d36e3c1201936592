"""Reorder buffer for the output tokens of one request.

Sequence numbers start at 0 and run over the whole request, across attempts and
reattachments. An attempt that replaces another continues at the next number,
so each token is delivered to the caller once.

    >>> stream = TokenStream(attempt=1)
    >>> stream.accept(1, 1, "b"), stream.accept(1, 0, "a")
    ([], ['a', 'b'])
    >>> stream.accept(1, 0, "a"), stream.next_sequence
    ([], 2)
"""

from __future__ import annotations

from typing import Final

FIRST_SEQUENCE: Final = 0
MAX_EARLY_TOKENS: Final = 1_024
"""Limit on the tokens buffered behind a gap in the sequence."""


class TokenStream:
    """Delivers the tokens of the current attempt in order, each once."""

    __slots__ = (
        "_early_tokens",
        "_total_tokens",
        "attempt",
        "delivered",
        "next_sequence",
        "overflowed",
    )

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.next_sequence = FIRST_SEQUENCE
        """Resume point: every token below this number was delivered."""
        self.delivered: list[str] = []
        """Texts of the delivered tokens, in order."""
        self.overflowed = False
        """The reorder buffer was full and a token was dropped.

        The entry must reattach to receive it again.
        """
        self._early_tokens: dict[int, str] = {}
        self._total_tokens: int | None = None

    @property
    def text(self) -> str:
        """Text delivered so far."""
        return "".join(self.delivered)

    @property
    def is_complete(self) -> bool:
        """Whether the end was announced and every token was delivered."""
        return self._total_tokens == self.next_sequence

    def accept(self, attempt: int, sequence: int, text: str) -> list[str]:
        """Accept a token and return the texts that are now in order.

        A token of another attempt, a duplicate and a number past the
        announced end are dropped. A token that arrives early is buffered.
        """
        if attempt != self.attempt or sequence < self.next_sequence:
            return []
        if self._total_tokens is not None and sequence >= self._total_tokens:
            return []
        if sequence > self.next_sequence:
            self._buffer_early(sequence, text)
            return []
        return self._deliver(text)

    def end(self, attempt: int, tokens: int) -> None:
        """Record that the request has ``tokens`` output tokens in total.

        A total below the number of delivered tokens is wrong and ignored, as
        is the end of another attempt.
        """
        if attempt == self.attempt and tokens >= self.next_sequence:
            self._total_tokens = tokens

    def restart(self, attempt: int) -> None:
        """Discard buffered tokens and continue at the resume point.

        ``attempt`` is the current attempt or a later one.
        """
        self.attempt = attempt
        self.overflowed = False
        self._early_tokens.clear()
        self._total_tokens = None

    def _buffer_early(self, sequence: int, text: str) -> None:
        if len(self._early_tokens) >= MAX_EARLY_TOKENS:
            self.overflowed = True
            return
        self._early_tokens.setdefault(sequence, text)

    def _deliver(self, text: str) -> list[str]:
        ready = [text]
        sequence = self.next_sequence + 1
        while sequence in self._early_tokens:
            ready.append(self._early_tokens.pop(sequence))
            sequence += 1
        self.next_sequence = sequence
        self.delivered.extend(ready)
        return ready
