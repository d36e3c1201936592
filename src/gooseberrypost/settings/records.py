"""Loads services, engines and accounts from JSON with comments.

The file has the objects ``services``, ``engines`` and ``accounts``, which map
names to records. A name with ``null`` removes the record.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from result import Result

from gooseberrypost.settings.document import child_path
from gooseberrypost.settings.loader import load_section
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.settings.rules import (
    AddressRule,
    ListRule,
    NumberRule,
    Rule,
    SectionRule,
    StringRule,
)
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRecord,
    Record,
    ServiceRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.settings.document import Document

HOUR_MS: Final = 3_600_000
DAY_MS: Final = 24 * HOUR_MS

_NAME_PATTERN: Final = re.compile(r"[^\x00-\x20/]{1,128}")


@dataclass(slots=True, frozen=True)
class RecordsRule(Rule):
    """An object that maps names to records of one kind, or to ``null``."""

    prefix: str
    """First part of the record keys, such as ``service``."""
    record_rule: SectionRule

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Check every name and every record."""
        if not isinstance(value, dict):
            line = document.line_of(path)
            yield SettingsProblem(path, line, "is not an object", value)
            return
        for name, item in value.items():
            item_path = child_path(path, name)
            if _NAME_PATTERN.fullmatch(name) is None:
                yield SettingsProblem(
                    item_path,
                    document.line_of(item_path),
                    f"{name!r} is not a valid name",
                    allowed="1 to 128 characters other than spaces and '/'",
                )
            if isinstance(item, dict) and "name" in item:
                line = document.line_of(f"{item_path}.name")
                yield SettingsProblem(
                    f"{item_path}.name", line, "is given by the key"
                )
            if item is not None:
                yield from self.record_rule.check(item, item_path, document)

    def build(self, value: Any) -> dict[str, Record | None]:
        """Return new records by record key, ``None`` for one to remove."""
        return {
            f"{self.prefix}/{name}": None
            if item is None
            else self.record_rule.build({**item, "name": name})
            for name, item in value.items()
        }


def _merge_changes(
    **kinds: dict[str, Record | None],
) -> dict[str, Record | None]:
    return {k: r for records in kinds.values() for k, r in records.items()}


def _count(unit: str) -> NumberRule:
    return NumberRule(0, 1_000_000, unit)


_RATE: Final = NumberRule(0, 1_000_000, "requests/s", allow_fraction=True)

# In the file, the name of a record is its key in the object. ``RecordsRule``
# adds it as a value for ``build``, so each section has a rule for it.
_SERVICE: Final = SectionRule(
    ServiceRecord,
    {
        "name": StringRule(),
        "kind": StringRule(choices=("model", "plain")),
        "models": ListRule(StringRule()),
        "first_token_ms": NumberRule(1, HOUR_MS, "ms"),
        "token_gap_ms": NumberRule(1, HOUR_MS, "ms"),
        "answer_ms": NumberRule(1, DAY_MS, "ms"),
        "priority": NumberRule(0, 9),
        "waste_weight": NumberRule(0, 1, allow_fraction=True),
        "max_wait_ms": NumberRule(0, DAY_MS, "ms"),
        "max_output_tokens": NumberRule(1, 1_000_000, "tokens"),
        "max_in_flight": _count("requests"),
        "requests_per_s": _RATE,
        "retry_share": NumberRule(0, 1, allow_fraction=True),
        "non_idempotent": ListRule(StringRule(max_length=1_024)),
        "claims_outage_policy": StringRule(choices=("memory", "refuse")),
    },
)

_ENGINE: Final = SectionRule(
    EngineRecord,
    {
        "name": StringRule(),
        "service": StringRule(),
        "agent_address": AddressRule(),
        "zone": StringRule(),
        "role": StringRule(choices=("prefill", "decode", "plain")),
        "model": StringRule(min_length=0),
        "slots": NumberRule(1, 100_000, "slots"),
        "pieces": _count("memory pieces"),
        "prefill_tokens_per_s": NumberRule(
            1, 10**9, "tokens/s", allow_fraction=True
        ),
        "link": StringRule(min_length=0),
        "link_kb_per_s": NumberRule(0, 10**9, "kB/s"),
    },
    frozenset({"service", "agent_address", "zone"}),
)

_ACCOUNT: Final = SectionRule(
    AccountRecord,
    {
        "name": StringRule(),
        "requests_per_s": _RATE,
        "burst": _count("requests"),
        "max_in_flight": _count("requests"),
        "share": NumberRule(0.001, 1_000, allow_fraction=True),
    },
)

_RECORDS: Final = SectionRule(
    _merge_changes,
    {
        "services": RecordsRule("service", _SERVICE),
        "engines": RecordsRule("engine", _ENGINE),
        "accounts": RecordsRule("account", _ACCOUNT),
    },
)


def load_records(
    text: str, file: str
) -> Result[dict[str, Record | None], SettingsInvalid]:
    """Parse and validate a file; return its changes by record key."""
    return load_section(text, file, _RECORDS)
