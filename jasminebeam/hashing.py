"""Hashes that are the same in all processes."""

from __future__ import annotations

import xxhash


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of some texts.

    Examples
    --------
    >>> hash64('a', 'b') == hash64('ab')
    False
    """
    return xxhash.xxh3_64_intdigest('\0'.join(parts).encode())
