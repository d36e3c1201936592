"""Runs the command line as ``python -m gooseberrypost``."""

from __future__ import annotations

import gc
import signal

if __name__ == "__main__":
    # The default action of SIGHUP ends the process, so a reload request that
    # arrives while the modules are still being imported has to be ignored.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    # What is imported is never garbage. Without collections a daemon starts
    # with a tenth less processor time, which counts after a loss of power.
    gc.disable()

    from gooseberrypost.cli.main import main

    main()
