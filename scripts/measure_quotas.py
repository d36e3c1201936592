"""Measures the use of limits in demand, and the most used in a window.

Run it as ``python -m scripts.measure_quotas``; it takes two minutes.
"""

from __future__ import annotations

from tests.quota_cluster import Cluster, most_in_window, permitted
from tests.test_quota_load import (
    NAME,
    REQUESTS,
    TOKENS,
    Quota,
    cluster,
    demand,
    used,
)


def show(case: str, quota: Quota, runs: list[tuple[Cluster, float]]) -> None:
    """Print use since a time, and the largest window, of several runs."""
    uses = [used(gateways, quota, since_s) for gateways, since_s in runs]
    most = max(most_in_window(run.admitted[NAME]) for run, _ in runs)
    print(
        f"{case}, {quota.unit}: use {min(uses):.3f} to {max(uses):.3f}, "
        f"largest window {most / permitted(quota):.3f}"
    )


def calm(quota: Quota, count: int, skew: float, seed: int):
    """Return a run without faults."""
    gateways = cluster(count, quota, seed)
    gateways.run(2.0, demand(quota, skew=skew))
    since_s = gateways.now_s
    gateways.run(16.0, demand(quota, skew=skew))
    return gateways, since_s


def killed(quota: Quota, lost: range, seed: int):
    """Return a run in which gateways are lost."""
    gateways = cluster(23, quota, seed)
    gateways.run(4.0, demand(quota, skew=1.0))
    gateways.kill(lost)
    since_s = gateways.now_s
    gateways.run(14.0, demand(quota, skew=1.0))
    return gateways, since_s


def cut(quota: Quota, part: list[int], seed: int, before_s: float = 9.0):
    """Return a run in which parts of the network lose contact."""
    gateways = cluster(23, quota, seed)
    gateways.run(before_s, demand(quota, skew=1.0))
    gateways.part = part
    since_s = gateways.now_s + 4.0
    gateways.run(20.0, demand(quota, skew=1.0))
    return gateways, since_s


def main() -> None:
    """Print the figures of all cases."""
    halves = [number % 2 for number in range(23)]
    for quota in (REQUESTS, TOKENS):
        for count, skew, seeds in ((23, 1.0, 5), (23, 8.0, 5), (68, 2.0, 2)):
            runs = [calm(quota, count, skew, seed) for seed in range(seeds)]
            show(f"calm, {count} gateways, skew {skew}", quota, runs)
        for lost in (range(1), range(0, 23, 2)):
            runs = [killed(quota, lost, seed) for seed in range(3)]
            show(f"{len(lost)} lost", quota, runs)
        for case, part in (
            ("one cut off", [1] + [0] * 22),
            ("halves", halves),
            ("nobody in contact", list(range(23))),
        ):
            runs = [cut(quota, part, seed) for seed in range(3)]
            show(case, quota, runs)


if __name__ == "__main__":
    main()
