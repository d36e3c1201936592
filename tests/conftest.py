"""Shared test configuration."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("default", derandomize=True, deadline=None)
settings.load_profile("default")
