"""Measures the resource use of each role, for ``docs/CAPACITY.md``."""
