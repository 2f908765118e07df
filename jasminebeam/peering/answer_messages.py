"""Messages that carry a large answer in parts."""

from __future__ import annotations

from jasminebeam.model import requests
from jasminebeam.model import upstreams
from jasminebeam.peering import base

# Largest answer of any setting. A sidecar that announces more is faulty.
MAX_BODY_BYTES = 1024 * 1024


class LargeAnswer(base.Message, tag=52):
    """Announces an answer whose body follows in parts.

    Parameters
    ----------
    session, sequence : int
        Identity of the request.
    status, headers, sample
        As in `Reply`.
    body_bytes : int
        Size of the body.
    """

    session: int
    sequence: int
    status: int
    headers: requests.Headers
    body_bytes: int
    sample: upstreams.LoadSample


class AnswerCredit(base.Message, tag=53):
    """Allows the sidecar to send an answer up to a position."""

    session: int
    sequence: int
    end: int


class AnswerPart(base.Message, tag=54):
    """Carries a part of the body of a `LargeAnswer`."""

    session: int
    sequence: int
    start: int
    data: bytes
