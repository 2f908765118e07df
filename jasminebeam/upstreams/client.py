"""HTTP client towards the upstream beside the node."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import yarl

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam import verdict


_SKIPPED_HEADERS = ('User-Agent', 'Accept-Encoding', 'Accept', 'Content-Type')


class UpstreamClient(typing.Protocol):
    """Runs one request at the upstream."""

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Return the verdict on one hand-over of the request."""

    async def fetch_load(self) -> int:
        """Return the upstream's own report of its load; -1 if unknown."""

    async def close(self) -> None:
        """Close the connections."""


class HttpUpstreamClient:
    """Sends each request once, over a bounded set of connections.

    Parameters
    ----------
    announcement : Announcement
        How to reach the upstream and how it sheds.
    max_answer_bytes : int
        Largest answer body that is accepted.
    """

    def __init__(
        self, announcement: upstreams.Announcement, max_answer_bytes: int
    ) -> None:
        self._announcement = announcement
        self._max_answer_bytes = max_answer_bytes
        self._base = f'http://127.0.0.1:{announcement.port}'
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=announcement.connections, ttl_dns_cache=None
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None),
        )
        # aiohttp repeats GET, HEAD, PUT and DELETE on a lost connection.
        self._session._retry_connection = False

    async def run(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        """Return the verdict on one hand-over of the request."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._exchange(call, timeout_ms)
        except aiohttp.ClientConnectorError:
            return verdict.not_run(verdict.Reason.CONNECT_FAILED)
        except TimeoutError:
            return verdict.may_have_run(verdict.Reason.UPSTREAM_TIMEOUT)
        except (aiohttp.ClientError, ConnectionError):
            return verdict.may_have_run(verdict.Reason.UPSTREAM_DISCONNECTED)

    async def fetch_load(self) -> int:
        """Return the upstream's own report of its load; -1 if unknown."""
        if not self._announcement.load_path:
            return -1
        url = self._base + self._announcement.load_path
        try:
            async with asyncio.timeout(1.0):
                async with self._session.get(url) as response:
                    return int(await response.text())
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError):
            return -1

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _exchange(
        self, call: requests.Call, timeout_ms: float
    ) -> verdict.Verdict:
        headers = [
            *call.headers,
            (requests.REQUEST_ID_HEADER, call.request_id),
            (requests.TIMEOUT_HEADER, str(int(timeout_ms))),
        ]
        async with self._session.request(
            call.method,
            yarl.URL(self._base + call.target, encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        ) as response:
            body = await self._read_body(response)
            if body is None:
                return verdict.may_have_run(verdict.Reason.ANSWER_TOO_LARGE)
            return self._judge(response, body)

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        length = response.content_length
        if length is not None and length > self._max_answer_bytes:
            return None
        chunks = []
        size_bytes = 0
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > self._max_answer_bytes:
                return None
            chunks.append(chunk)
        return b''.join(chunks)

    def _judge(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> verdict.Verdict:
        if self._is_shed(response):
            return verdict.not_run(verdict.Reason.SHED)
        headers = tuple(
            (name.decode('latin-1'), value.decode('utf-8', 'replace'))
            for name, value in response.raw_headers
        )
        answer = requests.Answer(response.status, headers, body)
        return verdict.answered(answer)

    def _is_shed(self, response: aiohttp.ClientResponse) -> bool:
        if response.status != self._announcement.shed_status:
            return False
        header = self._announcement.shed_header
        return not header or header in response.headers
