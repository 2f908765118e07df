"""Load balancer for servers whose load shifts in milliseconds."""

from __future__ import annotations

import os

# libuv must not open an io_uring; it reads this before the first loop.
os.environ['UV_USE_IO_URING'] = '0'

__version__ = '0.1.0'
