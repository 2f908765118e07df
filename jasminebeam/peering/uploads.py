"""Sends large requests in parts, as far as their sidecar has room."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from jasminebeam.peering import body_messages
from jasminebeam.peering import codec
from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.peering import links

# Largest body that travels within its request. A frame is held several times
# on its way, and delays the messages behind it.
MAX_INLINE_BYTES = 256 * 1024
PART_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class _Upload:
    body: bytes | memoryview
    sent_bytes: int = 0


class Uploads:
    """Bodies on their way to one sidecar."""

    def __init__(self) -> None:
        self._uploads: dict[tuple[int, int], _Upload] = {}

    def send(self, link: links.Link, request: messages.Request) -> int:
        """Send or announce a request; return the bytes sent, 0 on failure."""
        body = request.body
        if len(body) <= MAX_INLINE_BYTES or not link.carries_frames:
            return link.send(request)
        head = codec.encode(msgspec.structs.replace(request, body=b''))
        self._uploads[request.session, request.sequence] = _Upload(body)
        return link.send(
            body_messages.LargeRequest(
                request.boot_id,
                request.session,
                request.sequence,
                len(body),
                head,
            )
        )

    def on_credit(
        self, link: links.Link, credit: body_messages.BodyCredit
    ) -> None:
        """Send as much of a body as the sidecar allows."""
        request_id = (credit.session, credit.sequence)
        upload = self._uploads.get(request_id)
        if upload is None:
            return
        end = min(credit.end, len(upload.body))
        for start in range(upload.sent_bytes, end, PART_BYTES):
            part = upload.body[start : min(start + PART_BYTES, end)]
            link.send(body_messages.BodyPart(*request_id, start, part))
        upload.sent_bytes = max(upload.sent_bytes, end)
        if upload.sent_bytes == len(upload.body):
            del self._uploads[request_id]

    def drop(self, session: int, sequence: int) -> None:
        """Send no more of a body."""
        self._uploads.pop((session, sequence), None)

    def clear(self) -> None:
        """Forget all bodies: their connection is lost."""
        self._uploads.clear()
