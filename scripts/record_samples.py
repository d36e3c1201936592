"""Records what this version writes, for the check of a rolling upgrade.

Run it once for each release: ``python -m scripts.record_samples``.
"""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path

from tests.stored_samples import record_forms
from tests.wire_samples import current_schema, record_messages

ROOT = Path(__file__).parent.parent
SAMPLES = ROOT / "tests" / "samples"


def version() -> str:
    """Return the version in pyproject.toml."""
    text = (ROOT / "pyproject.toml").read_text()
    return str(tomllib.loads(text)["project"]["version"])


def main() -> None:
    """Write the samples of this version; refuses to replace others."""
    folder = SAMPLES / version()
    if folder.exists():
        sys.exit(f"{folder} exists; samples of a release stay as they are")
    texts = {
        name: json.dumps(content, indent=1)
        for name, content in (
            ("schema", current_schema()),
            ("messages", record_messages()),
            ("stored", record_forms()),
        )
    }
    folder.mkdir(parents=True)
    for name, text in texts.items():
        (folder / f"{name}.json").write_text(f"{text}\n")


if __name__ == "__main__":
    main()
