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
