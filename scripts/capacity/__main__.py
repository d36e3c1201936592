"""Command ``python -m scripts.capacity [--quick] [--part NAME]``."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

import click
from scripts.capacity import (
    config_distribution,
    gateway,
    idle,
    requests,
    retained_memory,
    startup,
)

PARTS: Final = ("held", "gateway", "spread", "start", "idle", "requests")


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes and short runs.")
@click.option("--part", type=click.Choice(PARTS), multiple=True)
def main(quick: bool, part: tuple[str, ...]) -> None:
    """Measure what each role costs and print intercepts and slopes."""
    # asyncio logs an error for each relay that is cancelled when a run ends.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    selected = part or PARTS
    if "held" in selected:
        retained_memory.measure(quick)
    if "gateway" in selected:
        gateway.measure(quick)
    if "spread" in selected:
        config_distribution.measure(quick)
    for name, module in (
        ("start", startup),
        ("idle", idle),
        ("requests", requests),
    ):
        if name in selected:
            asyncio.run(module.measure(quick))


if __name__ == "__main__":
    main()
