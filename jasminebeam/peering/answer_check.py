"""Checks the answers that sidecars pass on."""

from __future__ import annotations

import typing

from jasminebeam import response_syntax
from jasminebeam.telemetry import events
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.model import requests


def verdict_on(
    answer: requests.Answer, address: str, log: events.EventLog
) -> verdict.Verdict:
    """Return the verdict on a request that a sidecar has answered.

    Sidecars refuse malformed answers of their upstreams. One of an earlier
    version does not, and its ingress nodes must not pass them on either.

    Parameters
    ----------
    answer : Answer
        Answer from a message of the sidecar.
    address : str
        Address of the sidecar, for the log.
    log : EventLog
        Records a malformed answer.
    """
    if response_syntax.is_well_formed(
        answer.status, answer.headers, len(answer.body)
    ):
        return verdict.answered(answer)
    log.write(
        events.Event.PEER_ANSWER_MALFORMED,
        address=address,
        status=answer.status,
    )
    return verdict.may_have_run(verdict.Reason.WRONG_ANSWER)
