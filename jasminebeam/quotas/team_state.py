"""State of one team at one node, and the decisions on its requests."""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.peering import base
    from jasminebeam.quotas import pool
    from jasminebeam.quotas import share


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request has its token, or needs none.

    Parameters
    ----------
    expires_ms : float or None
        Expiry of the token, for `TeamLimiter.put_back`; None if the request
        needs none.
    """

    expires_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No token can be expected within this time."""

    wait_ms: float


Decision = Admitted | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Decision on a request of a team that waited under a ticket."""

    ticket: int
    team: str
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the name of the node that receives it."""

    node_id: str
    message: base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for a token."""

    ticket: int
    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentAsk:
    """A request for tokens that is not yet answered."""

    number: int
    coordinator: str
    sent_ms: float


class TeamState:
    """What one node knows of one team.

    Parameters
    ----------
    name : str
        Name of the team.
    tokens : Share
        Tokens of the node.
    tokens_pool : Pool
        Tokens that it collects as a coordinator.
    """

    def __init__(
        self, name: str, tokens: share.Share, tokens_pool: pool.Pool
    ) -> None:
        self.name = name
        self.share = tokens
        self.pool = tokens_pool
        self.waiting: collections.deque[Waiting] = collections.deque()
        self.sent: SentAsk | None = None
        self.refused_until_ms = -math.inf
