"""Runs the command line as ``python -m gooseberrypost``."""

from __future__ import annotations

from gooseberrypost.cli.main import main

if __name__ == "__main__":
    main()
