"""HTTP sessions of the bench, which take no malformed response."""

from __future__ import annotations

import aiohttp

from jasminebeam import http_client

# Above the largest response of a node or stand-in, such as its metrics.
MAX_BODY_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 300.0


def create(
    timeout_s: float = TIMEOUT_S, connections: int = 100
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
    """
    return http_client.create_session(
        http_client.Connector(MAX_BODY_BYTES, limit=connections),
        aiohttp.ClientTimeout(total=timeout_s),
    )
