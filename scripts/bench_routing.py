"""Plays the choice of plain servers on a virtual clock.

Run ``python -m scripts.bench_routing [SEEDS]``; prints the mean over seeds.
"""

from __future__ import annotations

import sys
from typing import Final

from tests.work_model import (
    Before,
    LeastOutstanding,
    LeastWork,
    Load,
    Omniscient,
    Probing,
    Product,
    mean,
    play,
    with_changes,
)

UNEVEN: Final = Load(seconds=12.0, warm_s=5.0)
LOADS: Final = {
    "uneven": UNEVEN,
    "even": with_changes(UNEVEN, paces=(1.0, 1.0, 1.0)),
}
STRATEGIES: Final = (
    LeastOutstanding,
    Before,
    Product,
    LeastWork,
    Probing,
    Omniscient,
)
DEFAULT_SEEDS: Final = 20


def main() -> None:
    """Print p99 and goodput of each load and strategy."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    for name, load in LOADS.items():
        for strategy in STRATEGIES:
            found = play(load, strategy, range(seeds))
            p99_ms = mean(one.p99_ms for one in found)
            goodput = mean(one.goodput for one in found)
            print(
                f"load={name} strategy={strategy.__name__} "
                f"p99_ms={p99_ms:.0f} goodput={goodput:.4f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
