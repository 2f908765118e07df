"""Attempts of requests at sidecars."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import asyncio

    from jasminebeam.model import requests
    from jasminebeam import verdict


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of a request to one sidecar.

    Parameters
    ----------
    call : Call
        The request.
    max_wait_ms : float
        Maximum predicted wait for a slot; the sidecar refuses the request
        if it predicts a longer one.
    future : asyncio.Future
        Resolves to the verdict on this attempt.
    boot_id, session, sequence : int
        Identity at the sidecar; zero before the attempt is sent.
    sent_ms : float
        Monotonic instant of the sending.
    resolve_by_ms : float
        Monotonic instant at which the recovery after a connection loss
        times out.
    is_arriving : bool
        True once the sidecar has announced the answer.
    is_cancelled : bool
        True if the answer is no longer needed.
    """

    call: requests.Call
    max_wait_ms: float
    future: asyncio.Future[verdict.Verdict]
    boot_id: int = 0
    session: int = 0
    sequence: int = 0
    sent_ms: float = 0.0
    resolve_by_ms: float = 0.0
    is_arriving: bool = False
    is_cancelled: bool = False

    def resolve(self, result: verdict.Verdict) -> None:
        """Set the verdict unless it is already set."""
        if not self.future.done():
            self.future.set_result(result)
