"""Blackboard: typed store of the state that a process's controllers share.

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
    """A section is owned by another controller, or is not registered."""

    code = "section_conflict"


class Section:
    """Base class of sections; the owner notifies readers of a change."""

    __slots__ = ("_changed",)

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake every reader that waits in ``changed``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self) -> None:
        """Wait until the owner next calls ``notify``."""
        await self._changed.wait()


S = TypeVar("S", bound=Section)


class Blackboard:
    """Registry of sections by class, each with the name of its owner."""

    __slots__ = ("_owners", "_sections")

    def __init__(self) -> None:
        self._sections: dict[type[Section], Section] = {}
        self._owners: dict[type[Section], str] = {}

    def add(self, section: Section, owner: str) -> None:
        """Register a section.

        Raises ``SectionConflict`` if its class is already registered.
        """
        section_type = type(section)
        if section_type in self._sections:
            raise SectionConflict(
                f"{section_type.__name__} is already owned by "
                f"{self._owners[section_type]}"
            )
        self._sections[section_type] = section
        self._owners[section_type] = owner

    def read(self, section_type: type[S]) -> S:
        """Return a section for reading.

        Raises ``SectionConflict`` if it is not registered.
        """
        section = self._sections.get(section_type)
        if not isinstance(section, section_type):
            raise SectionConflict(f"{section_type.__name__} is not registered")
        return section

    def write(self, section_type: type[S], owner: str) -> S:
        """Return a section for writing by its owner.

        Raises ``SectionConflict`` if ``owner`` does not own it.
        """
        if self._owners.get(section_type) != owner:
            raise SectionConflict(
                f"{owner} does not own {section_type.__name__}"
            )
        return self.read(section_type)
