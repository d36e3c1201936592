"""``python -m scripts.capacity [--quick] [--part NAME]``."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

import click
from scripts.capacity import gateway, held, idle, requests, spread, start

PARTS: Final = ("held", "gateway", "spread", "start", "idle", "requests")


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes and short runs.")
@click.option("--part", type=click.Choice(PARTS), multiple=True)
def main(quick: bool, part: tuple[str, ...]) -> None:
    """Measure what each role costs and print fixed parts and slopes."""
    # Relays that are cancelled at the end of a run are reported as errors.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    chosen = part or PARTS
    if "held" in chosen:
        held.measure(quick)
    if "gateway" in chosen:
        gateway.measure(quick)
    if "spread" in chosen:
        spread.measure(quick)
    for name, module in (
        ("start", start),
        ("idle", idle),
        ("requests", requests),
    ):
        if name in chosen:
            asyncio.run(module.measure(quick))


if __name__ == "__main__":
    main()
