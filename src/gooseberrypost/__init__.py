"""Routes language-model requests over separate prefill and decode pools."""

from __future__ import annotations

__version__ = "0.1.0"
