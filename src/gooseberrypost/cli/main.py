"""Command line of the daemons and the operators."""

from __future__ import annotations

import asyncio
from importlib import import_module
from typing import TYPE_CHECKING, Any

import click
from absl import logging
from result import Err, Result

from gooseberrypost.cli.common import FILE
from gooseberrypost.cli.config import config
from gooseberrypost.cli.exit_codes import fail
from gooseberrypost.cli.remote import drain, request, status
from gooseberrypost.cli.sheet import sheet
from gooseberrypost.settings.loader import load_agent, load_entry, read_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from gooseberrypost.settings.problems import SettingsInvalid


@click.group()
@click.version_option(package_name="gooseberrypost")
def main() -> None:
    """Route language-model requests over prefill and decode pools."""


for _command in (config, sheet, status, drain, request):
    main.add_command(_command)


@main.command()
@click.option("--config", "file", type=FILE, required=True)
def entry(file: Path) -> None:
    """Run an entry with the settings of a file."""
    _run_daemon("gooseberrypost.entry.daemon", file, load_entry)


@main.command()
@click.option("--config", "file", type=FILE, required=True)
def agent(file: Path) -> None:
    """Run an agent with the settings of a file."""
    _run_daemon("gooseberrypost.agent.daemon", file, load_agent)


def _run_daemon(
    module: str,
    file: Path,
    load: Callable[[str, str], Result[Any, SettingsInvalid]],
) -> None:
    loaded = read_file(file).and_then(lambda text: load(text, str(file)))
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # Each daemon imports only its own half of the package.
    asyncio.run(import_module(module).run(loaded.ok_value))
