"""Hash function that returns the same value in every process."""

from __future__ import annotations

import xxhash


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of a sequence of strings.

    Examples
    --------
    >>> hash64('a', 'b') == hash64('ab')
    False
    """
    return xxhash.xxh3_64_intdigest('\0'.join(parts).encode())
