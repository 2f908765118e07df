"""Runs one node on the hosting platform."""

from __future__ import annotations

import gc
import signal
import sys

if __name__ == '__main__':
    # The imports take long, and SIGHUP ends a process without a handler. Until
    # there is one, a change of the settings is found by polling.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    # Objects that imports allocate live as long as the process. Garbage
    # collections during the imports would only delay the start.
    gc.disable()

    from jasminebeam.platform import program

    sys.exit(program.main())
