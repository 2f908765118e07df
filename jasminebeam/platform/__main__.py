"""Runs one node on the hosting platform."""

from __future__ import annotations

import gc
import sys

if __name__ == '__main__':
    # Objects that imports allocate live as long as the process. Garbage
    # collections during the imports would only delay the start.
    gc.disable()

    from jasminebeam.platform import program

    sys.exit(program.main())
