"""Typed settings of each process, read from JSON with comments."""
