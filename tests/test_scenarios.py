"""Scripted scenarios over real processes, and their support code."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.scenarios.language import ScenarioSyntaxError, parse
from tests.scenarios.processes import reserve_address
from tests.scenarios.runner import run_scenario

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize(
    "path", sorted(FOLDER.glob("*.scenario")), ids=lambda path: path.stem
)
def test_scenario(path, tmp_path):
    """Guards against the failure named at the head of the scenario file."""
    asyncio.run(run_scenario(parse(path.read_text()), tmp_path))


def test_a_typo_in_a_scenario_is_an_error_with_its_position():
    """Guards against a misspelt statement that is ignored."""
    with pytest.raises(ScenarioSyntaxError, match="2:1"):
        parse("begin\nexpct r1 ended == 1\n")


def test_a_reserved_port_is_left_to_its_daemon():
    """Guards against another test process that takes a daemon's port."""
    with ExitStack() as stack:
        host, port = reserve_address(stack).split(":")
        other, daemon = socket.socket(), socket.socket()
        stack.callback(other.close)
        stack.callback(daemon.close)
        with pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        daemon.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        daemon.bind((host, int(port)))
        daemon.listen()
