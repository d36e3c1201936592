"""Command group that imports its commands only when they are used."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Mapping


class LazyGroup(click.Group):
    """Group of which some commands are named by their modules.

    A daemon then does not import what only the commands of operators need.
    """

    def __init__(
        self, *args: Any, modules: Mapping[str, str], **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._modules = modules

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in alphabetical order."""
        return sorted({*super().list_commands(ctx), *self._modules})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return a command, importing its module if need be."""
        module = self._modules.get(cmd_name)
        if module is None:
            return super().get_command(ctx, cmd_name)
        return getattr(import_module(module), cmd_name)
