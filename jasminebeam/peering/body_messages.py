"""Messages that carry the body of a large request in parts."""

from __future__ import annotations

from jasminebeam.peering import base


class LargeRequest(base.Message, tag=40):
    """Announces a request whose body follows in parts.

    Parameters
    ----------
    boot_id, session, sequence : int
        Identity of the request.
    body_bytes : int
        Size of the body.
    head : bytes
        Frame of the request without its body.
    """

    boot_id: int
    session: int
    sequence: int
    body_bytes: int
    head: bytes


class BodyCredit(base.Message, tag=41):
    """Allows the ingress to send a body up to a position."""

    session: int
    sequence: int
    end: int


class BodyPart(base.Message, tag=42):
    """Carries a part of the body of a `LargeRequest`."""

    session: int
    sequence: int
    start: int
    data: bytes
