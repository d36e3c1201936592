"""Queue of prompts at the prefill engines of a service.

A generation reserves decode memory before its prompt is prefilled. While
prefill is the bottleneck, a reservation would hold that memory for as long as
the prompt waits at its prefill engine, in the order of arrival. Generations
therefore wait for their turn in the reservation queue, which is ordered by
due time, until a prefill engine has a short backlog.

>>> engines = [PrefillEngine(queued_tokens=9_000, ms_per_token=0.02),
...            PrefillEngine(queued_tokens=1_000, ms_per_token=0.05)]
>>> backlog_ms(engines)
50.0
>>> round(expected_wait_ms(engines, tokens_ahead=14_000))
343
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_BACKLOG_SHARE: Final = 0.2
"""Share of the first-event objective that a prompt may wait at an engine.

An engine has to have its next prompt at hand when one ends, which a
reservation and a load notice delay by tens of ms.
"""


class PrefillEngine(NamedTuple):
    """What is known of one prefill engine."""

    queued_tokens: int
    """Prompt tokens of all gateways that it has not processed yet."""
    ms_per_token: float


def backlog_ms(engines: Collection[PrefillEngine]) -> float:
    """Return the shortest time until an engine begins with another prompt.

    Infinite without an engine.
    """
    return min(
        (engine.queued_tokens * engine.ms_per_token for engine in engines),
        default=math.inf,
    )


def expected_wait_ms(
    engines: Collection[PrefillEngine], tokens_ahead: int
) -> float:
    """Return the time until engines have processed all that is ahead.

    ``tokens_ahead`` are those of generations that wait for their turn. The
    engines share the work by their speed. 0 without an engine, as decode
    engines then prefill prompts themselves.
    """
    if not engines:
        return 0.0
    queued = sum(engine.queued_tokens for engine in engines)
    tokens_per_ms = sum(1 / engine.ms_per_token for engine in engines)
    return (queued + tokens_ahead) / tokens_per_ms
