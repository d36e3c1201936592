"""Command line of the daemons and for operators."""
