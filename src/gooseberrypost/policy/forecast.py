"""Forecast of a request's times on a pair of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.policy.views import AgentView, RequestView

PIECE_TOKENS: Final = 2_000
"""Tokens whose KV cache fills one memory piece."""
KV_KB_PER_TOKEN: Final = 128
"""Size of the KV cache of one prompt token, in KB.

At 930 requests/s with prompts of 5,000 tokens this is 610 GB/s.
"""
MAX_TRANSFER_MS: Final = 750
"""Longest transfer that is planned at a waste weight of 0, in ms.

A prefill result is kept for less than a second.
"""
FALLBACK_RESERVE_MS: Final = 250
"""Reduction of the longest planned transfer at full waste weight, in ms.

It leaves part of the prefill result's lifetime for a fallback transfer.
"""
MESSAGE_LATENCY_MS: Final = 2
"""Time for the messages between entry and agents before a stage, in ms."""
CROSS_ZONE_RATE_SHARE: Final = 0.6
"""Share of a link's rate assumed for transfers between availability zones."""


class Forecast(NamedTuple):
    """Predicted times of one request on one pair of engines, in ms.

    All are clock times except ``transfer_ms``, which is a duration.
    """

    prefill_end_ms: int
    transfer_start_ms: int
    transfer_ms: int
    first_token_ms: int
    complete_ms: int


def pieces_needed(prompt_tokens: int, output_tokens: int) -> int:
    """Return the memory pieces for a prompt and its longest output.

    >>> pieces_needed(3_000, 1_024)
    3
    """
    return max(1, -(-(prompt_tokens + output_tokens) // PIECE_TOKENS))


def transfer_kb(prompt_tokens: int) -> int:
    """Return the size of the KV cache of a prompt, in KB."""
    return prompt_tokens * KV_KB_PER_TOKEN


def transfer_ms(
    prompt_tokens: int, link_kb_per_s: int, same_zone: bool
) -> int:
    """Return the duration of a KV cache transfer, in ms.

    A rate of 0 KB/s means an unlimited link.
    """
    if link_kb_per_s <= 0:
        return 0
    share = 1.0 if same_zone else CROSS_ZONE_RATE_SHARE
    return int(transfer_kb(prompt_tokens) * 1_000 / (link_kb_per_s * share))


def prefill_ms(req: RequestView, agent: AgentView) -> int:
    """Return the time until the prefill result is available, in ms.

    The tokens queued at the engine are computed first, then the part of the
    prompt that is not in the prefix cache.
    """
    uncached = max(0, req.prompt_tokens - agent.cached_tokens)
    tokens = agent.queue_tokens + uncached
    return int(tokens * 1_000 / max(agent.prefill_tokens_per_s, 1.0))


def fits_now(req: RequestView, agent: AgentView) -> bool:
    """Whether the agent's last report leaves a free slot and enough pieces."""
    pieces = pieces_needed(req.prompt_tokens, req.max_output_tokens)
    return (
        agent.slots_used < agent.slots
        and agent.pieces_used + pieces <= agent.pieces
    )


def fits_when_empty(req: RequestView, agent: AgentView) -> bool:
    """Whether the request would fit on the engine if it were empty."""
    pieces = pieces_needed(req.prompt_tokens, req.max_output_tokens)
    return agent.slots > 0 and pieces <= agent.pieces


def first_token_deadline_ms(req: RequestView) -> int:
    """Return the clock time by which the first token is due.

    It follows from the first-token target or ``max_wait_ms``, whichever is
    longer.
    """
    return req.arrived_ms + max(req.first_token_ms, req.max_wait_ms)


def max_transfer_ms(req: RequestView) -> int:
    """Return the longest transfer to plan, in ms.

    The limit decreases as the request's waste weight increases.
    """
    return int(MAX_TRANSFER_MS - FALLBACK_RESERVE_MS * req.waste_weight)


def target_overrun_ms(req: RequestView, predicted: Forecast) -> int:
    """Return the time by which a forecast misses the targets, in ms.

    The largest overrun of the first token, the completion and the transfer
    duration counts; 0 means that all targets are met.
    """
    first_overrun = predicted.first_token_ms - first_token_deadline_ms(req)
    end_overrun = predicted.complete_ms - req.answer_deadline_ms
    transfer_overrun = predicted.transfer_ms - max_transfer_ms(req)
    return max(0, first_overrun, end_overrun, transfer_overrun)


def forecast(
    req: RequestView, prefill: AgentView, decode: AgentView, now_ms: int
) -> Forecast:
    """Predict the request on a pair whose decode engine has capacity."""
    prefill_end = now_ms + MESSAGE_LATENCY_MS + prefill_ms(req, prefill)
    transfer_start = max(prefill_end, decode.link_free_ms)
    duration = transfer_ms(
        req.prompt_tokens, decode.link_kb_per_s, prefill.zone == decode.zone
    )
    token_gap = max(decode.token_gap_ms, 1.0)
    first_token = int(
        transfer_start + duration + MESSAGE_LATENCY_MS + token_gap
    )
    tokens = req.expected_output_tokens or req.max_output_tokens
    last_token = int(first_token + token_gap * max(0, tokens - 1))
    return Forecast(
        prefill_end, transfer_start, duration, first_token, last_token
    )
