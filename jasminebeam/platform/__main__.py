"""Runs one node on the users' platform."""

from __future__ import annotations

import sys

from jasminebeam.platform import program

if __name__ == '__main__':
    sys.exit(program.main())
