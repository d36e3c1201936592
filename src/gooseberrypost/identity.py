"""Identifiers of requests, attempts, processes and content.

>>> key = MintedKey(shard=3, epoch=7, token="00ff00ff00ff00ff")
>>> MintedKey.parse(str(key)).unwrap() == key
True
"""

from __future__ import annotations

import hashlib
import random
import re
from typing import Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import MalformedRequest

MAX_KEY_CHARS: Final = 128
DIGEST_BYTES: Final = 16
MINTED_PREFIX: Final = "gbp1-"

_KEY_PATTERN: Final = re.compile(r"[\x21-\x7e]{1,128}")
_MINTED_PATTERN: Final = re.compile(
    r"gbp1-(\d{1,5})-(\d{1,18})-([0-9a-f]{16})"
)


class ProcessId(NamedTuple):
    """A process and the incarnation drawn at its start."""

    name: str
    incarnation: int


class Attempt(NamedTuple):
    """One try at running a request; a higher number replaces a lower one."""

    key: str
    number: int


class MintedKey(NamedTuple):
    """An idempotency key made by a claim owner, with shard and epoch."""

    shard: int
    epoch: int
    token: str
    """Sixteen random hexadecimal digits."""

    @classmethod
    def mint(cls, shard: int, epoch: int, rng: random.Random) -> MintedKey:
        """Make a key that no caller can have used before."""
        return cls(shard, epoch, f"{rng.getrandbits(64):016x}")

    @classmethod
    def parse(cls, text: str) -> Result[MintedKey, MalformedRequest]:
        """Parse the textual form; any other key is a ``MalformedRequest``."""
        match = _MINTED_PATTERN.fullmatch(text)
        if match is None:
            return Err(MalformedRequest(f"{text!r} is not a minted key"))
        return Ok(cls(int(match[1]), int(match[2]), match[3]))

    def __str__(self) -> str:
        return f"{MINTED_PREFIX}{self.shard}-{self.epoch}-{self.token}"


def check_key(text: str) -> Result[str, MalformedRequest]:
    """Accept 1 to 128 visible ASCII characters as an idempotency key.

    The prefix of minted keys is reserved: a key with it must parse.
    """
    if _KEY_PATTERN.fullmatch(text) is None:
        return Err(
            MalformedRequest(
                "Idempotency-Key must be 1 to 128 visible ASCII characters"
            )
        )
    if text.startswith(MINTED_PREFIX):
        return MintedKey.parse(text).map(str)
    return Ok(text)


def new_incarnation(rng: random.Random | None = None) -> int:
    """Draw a random positive 63-bit number for a process start.

    Daemons leave ``rng`` out: with a configured seed each start would draw
    the number of the start before, and so would other processes.
    """
    return (rng or random.SystemRandom()).getrandbits(63) | 1


def content_digest(service: str, body: bytes) -> bytes:
    """Digest of a service name and body, in 16 bytes."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(service.encode())
    hasher.update(b"\0")
    hasher.update(body)
    return hasher.digest()


def shard_of(key: str, shards: int) -> int:
    """Shard that judges the key: a minted key names it, others are hashed."""
    match MintedKey.parse(key):
        case Ok(minted):
            return minted.shard % shards
        case _:
            digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
            return int.from_bytes(digest, "big") % shards
