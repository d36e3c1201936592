"""Measures what each role costs, for ``docs/CAPACITY.md``."""
