"""Where the header of a request ends."""

from __future__ import annotations

import re

_HEADER_END = b'\r\n\r\n'
_BLANK_LINES = re.compile(rb'[\r\n]*')


def header_end(data: bytes, start: int, limit: int) -> int:
    """Return where the header that begins at `start` may end.

    Examples
    --------
    >>> header_end(b'one\\r\\n\\r\\ntwo', 0, 10)
    7
    >>> header_end(b'one\\r\\n\\r\\ntwo', 7, 10)
    10
    """
    # Blank lines may precede a request; they are no header.
    first = _BLANK_LINES.match(data, start, limit).end() if start else 0
    end = data.find(_HEADER_END, first, limit)
    return limit if end < 0 else end + len(_HEADER_END)
