"""Runs the command line as ``python -m gooseberrypost``."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # A request to reload that comes while the daemon still loads its modules
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gooseberrypost.cli.main import main

    main()
