"""Load balancer for servers whose load changes within milliseconds."""

from __future__ import annotations

import os

# libuv must not use io_uring. libuv reads this variable before it creates the
# first event loop.
os.environ['UV_USE_IO_URING'] = '0'

__version__ = '0.1.0'
