"""Daemon logging, set up in a separate process or written to a pipe."""

from __future__ import annotations

import os
import re
import subprocess
import sys

import pytest

from gooseberrypost import daemonlog
from tests.scenarios.processes import SOURCE

PROGRAM = """
import asyncio, logging as standard
from absl import logging
from mode import Service
from gooseberrypost import daemonlog

class Part(Service):
    async def on_start(self):
        logging.debug("event=detail")
        logging.info("event=routed request=%s", "k")
        logging.warning("event=late")
        standard.getLogger("aiohttp.access").info("GET /")
        standard.getLogger("asyncio").warning("slow task")
        try:
            raise OSError("two\\nlines")
        except OSError:
            logging.exception("event=failed")

async def main():
    part = Part()
    await part.start()
    await part.stop()

daemonlog.set_up("LEVEL")
asyncio.run(main())
"""
LINE = re.compile(r"[DIWE]\d{4} [\d:.]+ +\d+ \S+:\d+\] (.*)")
EVENTS = [
    "event=detail",
    "event=routed request=k",
    "event=late",
    'event=library logger=asyncio message="slow task"',
]


@pytest.mark.parametrize(
    ("level", "skipped"), [("debug", 0), ("info", 1), ("warning", 2)]
)
def test_a_daemon_logs_one_line_for_each_event(level, skipped):
    """Guards against absl's own warning, library info logs and split lines."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM.replace("LEVEL", level)],
        env={"PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    lines = [LINE.fullmatch(line) for line in done.stderr.splitlines()]
    assert all(lines), done.stderr
    texts = [line[1] for line in lines]
    assert texts[:-1] == EVENTS[skipped:]
    assert texts[-1].startswith("event=failed\\nTraceback")
    assert texts[-1].endswith("OSError: two\\nlines")
    assert not done.stdout


def test_a_slow_reader_does_not_block_logging():
    """Guards against a process that blocks on the reader of its log."""
    reader, writer = os.pipe()
    try:
        stream = daemonlog.NonBlockingStream(writer, lines_per_s=1e6)
        for _ in range(3_000):
            stream.write("x" * 99 + "\n")
        os.set_blocking(reader, False)
        while True:
            try:
                os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        stream.write("last\n")
        assert b"event=log_dropped lines=" in os.read(reader, 1 << 20)
    finally:
        os.close(reader)
        os.close(writer)


def test_the_log_rate_is_limited():
    """Guards against a burst of requests that floods the log."""
    reader, writer = os.pipe()
    try:
        stream = daemonlog.NonBlockingStream(writer, lines_per_s=5.0)
        for _ in range(50):
            stream.write("x\n")
        assert os.read(reader, 1 << 20).count(b"x") <= 6
    finally:
        os.close(reader)
        os.close(writer)
