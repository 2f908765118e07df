"""HTTP headers exchanged with callers and upstreams."""

from __future__ import annotations

import typing

from jasminebeam.model import requests

IDEMPOTENCY_KEY = 'Idempotency-Key'
REQUEST_ID = requests.REQUEST_ID_HEADER
TIMEOUT_MS = requests.TIMEOUT_HEADER
VERDICT = 'Jasminebeam-Verdict'
REASON = 'Jasminebeam-Reason'
# Team of a request, for the upstream.
TEAM = 'Jasminebeam-Team'
RETRY_AFTER = 'Retry-After'
# Forbids the node that receives the answer to retry the request.
FINAL = requests.FINAL_HEADER

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Headers that each node processes itself instead of forwarding them.
_REPLACED = frozenset(
    {
        'content-length',
        'expect',
        REQUEST_ID.lower(),
        TIMEOUT_MS.lower(),
        VERDICT.lower(),
        REASON.lower(),
    }
)


def end_to_end(
    items: typing.Iterable[tuple[str, str]],
) -> requests.Headers:
    """Return the headers that are forwarded unchanged.

    Examples
    --------
    >>> end_to_end([('Connection', 'X-A'), ('X-A', '1'), ('X-B', '2')])
    (('X-B', '2'),)
    """
    pairs = list(items)
    dropped = _HOP_BY_HOP | _REPLACED
    for name, value in pairs:
        if name.lower() == 'connection':
            listed = (token.strip().lower() for token in value.split(','))
            dropped = dropped.union(listed)
    # aiohttp returns the names as a subclass of str, which msgspec refuses to
    # encode.
    return tuple(
        (str(name), value)
        for name, value in pairs
        if name.lower() not in dropped
    )


def is_text(headers: requests.Headers) -> bool:
    """Return True if all values can be encoded as UTF-8."""
    try:
        for _, value in headers:
            value.encode()
    except UnicodeEncodeError:
        return False
    return True
