"""Forecast of a request on a pair of engines, from what an entry sees."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.policy.views import AgentView, RequestView

PIECE_TOKENS: Final = 2_000
"""Tokens whose KV cache fills one memory piece."""
KV_KB_PER_TOKEN: Final = 128
"""KV cache of one prompt token: 610 GB/s at 930 requests/s of 5,000 tokens."""
MAX_TRANSFER_MS: Final = 750
"""Longest transfer that is planned where wasted prefill weighs nothing; the
result lives under a second."""
WEIGHED_TRANSFER_MS: Final = 250
"""What is left of the result's life for a fallback, at full weight."""
HOP_MS: Final = 2
"""Messages between entry and agents before a stage starts."""
CROSS_ZONE_RATE_SHARE: Final = 0.6
"""Share of a link's rate that a transfer between zones is assumed to reach."""


class Forecast(NamedTuple):
    """Predicted times of one request on one pair, in milliseconds.

    All are clock times but ``transfer_ms``, a duration.
    """

    prefill_end_ms: int
    transfer_start_ms: int
    transfer_ms: int
    first_token_ms: int
    complete_ms: int


def pieces_needed(prompt_tokens: int, output_tokens: int) -> int:
    """Memory pieces that hold a prompt and its longest answer.

    >>> pieces_needed(3_000, 1_024)
    3
    """
    return max(1, -(-(prompt_tokens + output_tokens) // PIECE_TOKENS))


def transfer_kb(prompt_tokens: int) -> int:
    """Size of the KV cache of a prompt, in KB."""
    return prompt_tokens * KV_KB_PER_TOKEN


def transfer_ms(
    prompt_tokens: int, link_kb_per_s: int, same_zone: bool
) -> int:
    """Duration of a KV cache transfer; 0 KB/s means an unlimited link."""
    if link_kb_per_s <= 0:
        return 0
    share = 1.0 if same_zone else CROSS_ZONE_RATE_SHARE
    return int(transfer_kb(prompt_tokens) * 1_000 / (link_kb_per_s * share))


def prefill_ms(req: RequestView, agent: AgentView) -> int:
    """Time until the prefill result: the queue, then the uncached prompt."""
    uncached = max(0, req.prompt_tokens - agent.cached_tokens)
    tokens = agent.queue_tokens + uncached
    return int(tokens * 1_000 / max(agent.prefill_tokens_per_s, 1.0))


def has_room(req: RequestView, agent: AgentView) -> bool:
    """Whether the agent's last report leaves a slot and all pieces."""
    pieces = pieces_needed(req.prompt_tokens, req.max_output_tokens)
    return (
        agent.slots_used < agent.slots
        and agent.pieces_used + pieces <= agent.pieces
    )


def can_ever_hold(req: RequestView, agent: AgentView) -> bool:
    """Whether an empty engine would hold the request."""
    pieces = pieces_needed(req.prompt_tokens, req.max_output_tokens)
    return agent.slots > 0 and pieces <= agent.pieces


def first_token_due_ms(req: RequestView) -> int:
    """Clock time by which the first token is due, waiting included."""
    return req.arrived_ms + max(req.first_token_ms, req.max_wait_ms)


def longest_transfer_ms(req: RequestView) -> int:
    """Longest transfer to plan; shorter where waste weighs more."""
    return int(MAX_TRANSFER_MS - WEIGHED_TRANSFER_MS * req.waste_weight)


def excess_ms(req: RequestView, predicted: Forecast) -> int:
    """Time by which a forecast misses the targets; 0 when it meets them."""
    late = predicted.first_token_ms - first_token_due_ms(req)
    overdue = predicted.complete_ms - req.answer_deadline_ms
    moving = predicted.transfer_ms - longest_transfer_ms(req)
    return max(0, late, overdue, moving)


def forecast(
    req: RequestView, prefill: AgentView, decode: AgentView, now_ms: int
) -> Forecast:
    """Predict the request on a pair whose decode engine has room."""
    prefill_end = now_ms + HOP_MS + prefill_ms(req, prefill)
    start = max(prefill_end, decode.link_free_ms)
    moving = transfer_ms(
        req.prompt_tokens, decode.link_kb_per_s, prefill.zone == decode.zone
    )
    gap = max(decode.token_gap_ms, 1.0)
    first = int(start + moving + HOP_MS + gap)
    tokens = req.expected_output_tokens or req.max_output_tokens
    last = int(first + gap * max(0, tokens - 1))
    return Forecast(prefill_end, start, moving, first, last)
