"""Typed settings of each process, parsed from JSON with comments."""
