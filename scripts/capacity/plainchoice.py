"""Times one choice of a plain server, before and after routing by work.

Run ``python -m scripts.capacity.plainchoice``.
"""

from __future__ import annotations

import random
import timeit

from gooseberrypost.gateway.model import Server
from gooseberrypost.policy.serverchoice import rank_plain
from gooseberrypost.policy.serverload import PeerLoad, ServerLoads
from gooseberrypost.policy.serverpace import PaceReport
from gooseberrypost.policy.workrouting import WorkRouting

SIZES = (4, 40)
PEERS = 22
CHOICES = 2_000


def _loads(servers: list[Server]) -> tuple[ServerLoads, WorkRouting]:
    loads = ServerLoads()
    work = WorkRouting(loads)
    for number in range(PEERS):
        notice = {
            server.identity: PeerLoad(
                2, 0, [], 90.0, PaceReport(0.7 + place % 3, 8)
            )
            for place, server in enumerate(servers)
        }
        loads.update_peer(f"g{number}", 0.0, notice)
        work.update_peer(f"g{number}", 0.0, notice)
    return loads, work


def _time_us(size: int, *, by_work: bool) -> float:
    """Return the time of one choice in us, the expected cost included."""
    servers = [
        Server(f"i{number}", "s", "10.0.0.1:80", "abc"[number % 3], 6)
        for number in range(size)
    ]
    loads, work = _loads(servers)
    rng = random.Random(1)

    def choose() -> None:
        if by_work:
            expected = work.expect("s", "r", "GET", "users/1234/x", 900)
            rank_plain(servers, loads, "a", 0.1, rng, work, expected)
        else:
            rank_plain(servers, loads, "a", 0.1, rng)

    return 1e6 * min(timeit.repeat(choose, number=CHOICES, repeat=5)) / CHOICES


def main() -> None:
    """Print the times for each number of servers."""
    for size in SIZES:
        before_us = _time_us(size, by_work=False)
        after_us = _time_us(size, by_work=True)
        print(
            f"servers={size} peers={PEERS} before_us={before_us:.1f} "
            f"after_us={after_us:.1f}"
        )


if __name__ == "__main__":
    main()
