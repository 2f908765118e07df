"""HTTP sessions of the bench, which take no malformed response."""

from __future__ import annotations

import typing

import aiohttp

from jasminebeam import http_client

# Above the largest response of a node or stand-in, such as its metrics.
MAX_BODY_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 300.0


def create(
    timeout_s: float = TIMEOUT_S,
    connections: int = 100,
    on_unsolicited: typing.Callable[
        [int], None
    ] = http_client.ignore_unsolicited,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    Its requests raise `http_client.MalformedResponseError` if the response
    is malformed.

    Parameters
    ----------
    timeout_s : float
        Maximum duration of a request in seconds.
    connections : int
        Maximum number of connections; 0 for no limit.
    on_unsolicited : callable
        Receives the number of bytes that answer no request.
    """
    return http_client.create_session(
        http_client.Connector(
            MAX_BODY_BYTES, limit=connections, on_unsolicited=on_unsolicited
        ),
        aiohttp.ClientTimeout(total=timeout_s),
    )
