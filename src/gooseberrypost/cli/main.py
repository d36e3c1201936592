"""Command line of the daemons and the operators."""

from __future__ import annotations

import asyncio
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from absl import logging
from result import Err, Result

from gooseberrypost.cli.exit_codes import fail
from gooseberrypost.settings.loader import load_agent, load_entry, read_file

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.settings.problems import SettingsInvalid

FILE = click.Path(path_type=Path)


@click.group()
@click.version_option(package_name="gooseberrypost")
def main() -> None:
    """Route language-model requests over prefill and decode pools."""


@main.command()
@click.option("--config", "config", type=FILE, required=True)
def entry(config: Path) -> None:
    """Run an entry with the settings of a file."""
    _run_daemon("gooseberrypost.entry.daemon", config, load_entry)


@main.command()
@click.option("--config", "config", type=FILE, required=True)
def agent(config: Path) -> None:
    """Run an agent with the settings of a file."""
    _run_daemon("gooseberrypost.agent.daemon", config, load_agent)


def _run_daemon(
    module: str,
    config: Path,
    load: Callable[[str, str], Result[Any, SettingsInvalid]],
) -> None:
    loaded = read_file(config).and_then(lambda text: load(text, str(config)))
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # Each daemon imports only its own half of the package.
    asyncio.run(import_module(module).run(loaded.ok_value))
