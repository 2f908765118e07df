"""Outputs of the gossip state machine."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.model import evacuations as evacuations_model
    from jasminebeam.model import routes
    from jasminebeam.model import services
    from jasminebeam.model import upstreams
    from jasminebeam.peering import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the peer address of its receiver."""

    address: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class Effects:
    """Outputs of one step of the state machine.

    Parameters
    ----------
    outgoing : list of Outgoing
        Messages to send.
    replies : list of Message
        Messages to send to the sender of the received message.
    members : list of Member
        Changed records.
    revisions : list of ServiceRevision
        Revisions that have come into force.
    route_set : RouteSet or None
        Route set that has come into force.
    routes_source : str
        Whence that set came: `STORE_SOURCE` of `route_spread`, the first
        peer that announced its revision, or `PEER_SOURCE` if no heartbeat
        had announced it.
    evacuations : Evacuations or None
        Evacuated failure domains that have come into force.
    refuted : bool
        True if this node has refuted a record about itself.
    unreachable, recovered : frozenset of str
        Failure domains that have become unreachable, and those that are
        reachable again.
    """

    outgoing: list[Outgoing] = dataclasses.field(default_factory=list)
    replies: list[messages.Message] = dataclasses.field(default_factory=list)
    members: list[upstreams.Member] = dataclasses.field(default_factory=list)
    revisions: list[services.ServiceRevision] = dataclasses.field(
        default_factory=list
    )
    route_set: routes.RouteSet | None = None
    routes_source: str = ''
    evacuations: evacuations_model.Evacuations | None = None
    refuted: bool = False
    unreachable: frozenset[str] = frozenset()
    recovered: frozenset[str] = frozenset()
