"""Message by which a sidecar tells that its upstream is cold."""

from __future__ import annotations

from jasminebeam.peering import base


class ColdNotice(base.Message, tag=34):
    """States that an upstream is cold, or may be, and what it takes.

    A sidecar sends this message ahead of its load samples while this applies,
    except ahead of that of ``Welcome``. Another sample without it shows that
    it does not apply.

    Parameters
    ----------
    per_s : float
        Requests a second that the upstream takes from all nodes together.
    wait_us : int
        Time until the upstream takes a further request.
    """

    per_s: float
    wait_us: int
