"""Hashes of prompt prefixes, used to match them with prefix caches.

>>> one = prefix_hashes("a b c d", block_tokens=2)
>>> two = prefix_hashes("a b x y", block_tokens=2)
>>> one[0] == two[0], one[1] == two[1]
(True, False)
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS: Final = 64
"""Size of one prefix cache block."""
DENSE_BLOCKS: Final = 8
"""Blocks of which each prefix is a part that prompts may share."""


def shared_prefix_hash(hashes: Sequence[int]) -> int | None:
    """Hash that prompts with the same long prefix have in common.

    The number of blocks that it covers is the largest power of two that fits
    into the prompt, so that prompts of similar length share the hash. ``None``
    for a prompt that is shorter than one block.

    >>> shared_prefix_hash([11, 12, 13]), shared_prefix_hash([11, 12])
    (12, 12)
    """
    if not hashes:
        return None
    return hashes[(1 << (len(hashes).bit_length() - 1)) - 1]


def shared_part_hashes(hashes: Sequence[int]) -> list[int]:
    """Hashes of the leading parts that other prompts may share.

    Each block boundary counts up to ``DENSE_BLOCKS`` blocks, and one at every
    half more beyond that.

    >>> shared_part_hashes(range(1, 31))
    [1, 2, 3, 4, 5, 6, 7, 8, 12, 18, 27]
    """
    chosen, blocks = [], 1
    while blocks <= len(hashes):
        chosen.append(hashes[blocks - 1])
        blocks += 1 if blocks < DENSE_BLOCKS else blocks // 2
    return chosen


def prefix_hashes(prompt: str, block_tokens: int = BLOCK_TOKENS) -> list[int]:
    """Signed 64-bit hash of each prefix that ends at a block boundary."""
    words = prompt.split()
    hasher = hashlib.blake2b(digest_size=8)
    hashes = []
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = " ".join(words[end - block_tokens : end])
        hasher.update(block.encode() + b"\0")
        digest = hasher.digest()
        hashes.append(int.from_bytes(digest, "big", signed=True))
    return hashes
