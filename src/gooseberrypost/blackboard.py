"""Blackboard: one typed store of what a process knows.

Each section is written by exactly one controller, its owner; every controller
may read every section.

    >>> class Lifecycle(Section):
    ...     __slots__ = ("state",)
    ...     def __init__(self):
    ...         super().__init__()
    ...         self.state = "starting"
    >>> board = Blackboard()
    >>> board.add(Lifecycle(), owner="LifecycleController")
    >>> board.read(Lifecycle).state
    'starting'
"""

from __future__ import annotations

import asyncio
from typing import TypeVar

from gooseberrypost.errors import Failure


class SectionConflict(Failure):
    """A section has another owner, or does not exist."""

    code = "section_conflict"


class Section:
    """Base of the sections; wakes waiting readers when its owner says so."""

    __slots__ = ("_changed",)

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake every reader that waits for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self) -> None:
        """Wait until the owner changes this section."""
        await self._changed.wait()


S = TypeVar("S", bound=Section)


class Blackboard:
    """Sections by class, each with the name of its owner."""

    __slots__ = ("_owners", "_sections")

    def __init__(self) -> None:
        self._sections: dict[type[Section], Section] = {}
        self._owners: dict[type[Section], str] = {}

    def add(self, section: Section, owner: str) -> None:
        """Register a section; ``SectionConflict`` if it exists."""
        kind = type(section)
        if kind in self._sections:
            raise SectionConflict(
                f"{kind.__name__} belongs to {self._owners[kind]}"
            )
        self._sections[kind] = section
        self._owners[kind] = owner

    def read(self, kind: type[S]) -> S:
        """Return a section to read; ``SectionConflict`` if absent."""
        section = self._sections.get(kind)
        if not isinstance(section, kind):
            raise SectionConflict(f"{kind.__name__} is not on this blackboard")
        return section

    def write(self, kind: type[S], owner: str) -> S:
        """Return a section to its owner; ``SectionConflict`` for others."""
        if self._owners.get(kind) != owner:
            raise SectionConflict(f"{owner} does not own {kind.__name__}")
        return self.read(kind)
