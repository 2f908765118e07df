"""Runs one node on the users' platform."""

from __future__ import annotations

import gc
import sys

if __name__ == '__main__':
    # What imports allocate stays; collections only delay the start.
    gc.disable()

    from jasminebeam.platform import program

    sys.exit(program.main())
