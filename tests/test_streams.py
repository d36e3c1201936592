"""Ordering and completeness of token streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.state.streams import MAX_EARLY_TOKENS, TokenStream


@given(
    st.lists(st.text(max_size=3), max_size=20),
    st.lists(
        st.tuples(st.integers(1, 3), st.integers(0, 25)),
        max_size=60,
    ),
    st.randoms(use_true_random=False),
)
def test_shuffled_duplicated_and_stale_frames_give_the_exact_text(
    tokens, noise, rng
):
    """Guards against lost, repeated or reordered tokens (P3)."""
    stream = TokenStream(attempt=2)
    frames = [(2, n, text) for n, text in enumerate(tokens)]
    frames += [(2, n, tokens[n]) for _, n in noise if n < len(tokens)]
    frames += [(a, n, "wrong") for a, n in noise if a != 2]
    rng.shuffle(frames)
    delivered = []
    for frame in frames:
        assert not (stream.is_complete and len(delivered) < len(tokens))
        delivered += stream.accept(*frame)
    stream.end(1, 0)
    stream.end(2, len(tokens))
    assert delivered == stream.delivered == tokens
    assert stream.is_complete


@given(st.integers(0, 10), st.integers(0, 10))
def test_a_later_attempt_continues_at_the_resume_point(before, after):
    """Guards against repeated or skipped tokens after a restart (P3)."""
    stream = TokenStream(attempt=1)
    for n in range(before):
        stream.accept(1, n, f"{n} ")
    stream.accept(1, before + 1, "early")
    stream.restart(2)
    stream.accept(1, before, "stale")
    for n in range(stream.next_sequence, before + after):
        stream.accept(2, n, f"{n} ")
    stream.end(2, before + after)
    assert stream.text == "".join(f"{n} " for n in range(before + after))
    assert stream.is_complete


def test_early_tokens_are_held_within_a_bound():
    """Guards against unbounded buffering behind a gap that is never filled."""
    stream = TokenStream(attempt=1)
    for n in range(1, MAX_EARLY_TOKENS + 2):
        assert stream.accept(1, n, "x") == []
    assert stream.overflowed
    stream.restart(1)
    assert not stream.overflowed
