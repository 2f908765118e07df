"""Upstreams, the nodes beside them, and their load."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class Phase(enum.IntEnum):
    """Readiness of an upstream for new work."""

    ABSENT = 0
    READY = 1
    DRAINING = 2


class Status(enum.IntEnum):
    """State of a member as the failure detector sees it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream tells the node beside it.

    Parameters
    ----------
    service : str
        Service that the upstream belongs to.
    port : int
        Loopback port of the upstream's HTTP server.
    slots : int
        Requests that the upstream works on at once.
    connections : int
        Connections that the upstream accepts.
    cold_start_ms : int
        Time from the announcement to full speed.
    shed_status : int
        HTTP status that means a request was shed before it ran; 0 if none.
    shed_header : str
        Header that must accompany the status; empty if none is needed.
    load_path : str
        Path of the load report; empty if there is none.
    host : str
        Address of the upstream's HTTP server.
    upstream_id : str
        Identity that goes with each hand-over; empty if there is none.
    """

    service: str
    port: int
    slots: int = 9
    connections: int = 260
    cold_start_ms: int = 0
    shed_status: int = 0
    shed_header: str = ''
    load_path: str = ''
    host: str = '127.0.0.1'
    upstream_id: str = ''


NORMAL_SLOWNESS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream tells of itself.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it works on, that wait, and that fit at once.
    slowness : float or None
        How long work takes at this moment as a multiple of the usual;
        None if the upstream does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Result of one health check.

    Parameters
    ----------
    healthy : bool
        True if the upstream takes work by its own account.
    upstream_id : str
        Identity of the upstream that answered; empty if it told none.
    report : LoadReport or None
        Load, if it came along.
    """

    healthy: bool
    upstream_id: str = ''
    report: LoadReport | None = None


class LoadSample(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load of one upstream as its sidecar counts it.

    Parameters
    ----------
    sequence : int
        Rises with each sample of one sidecar.
    in_flight, queued, slots : int
        Requests at the upstream, requests waiting, and slots.
    service_us : int
        Smoothed service time of recent requests in microseconds.
    oldest_us : int
        Age of the oldest request in flight in microseconds.
    reported : int
        The upstream's own (late) report of its load; -1 if unknown.
    phase : Phase
        Readiness for new work.
    slowness_percent : int
        How long work takes on the host at this moment; 100 is usual.
    """

    sequence: int
    in_flight: int
    queued: int
    slots: int
    service_us: int
    oldest_us: int
    reported: int
    phase: Phase
    slowness_percent: int = 100


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One node and the upstream beside it, as gossip spreads them.

    Parameters
    ----------
    node_id : str
        Unique name of the node.
    address : str
        ``host:port`` of the node's peer socket.
    failure_domain, region : str
        Place of the host.
    incarnation : int
        Start of the process in ms since the epoch.
    version : int
        Rises with each change that the node itself publishes.
    status : Status
        Liveness.
    phase : Phase
        Readiness of the upstream.
    service : str
        Service of the upstream; empty while none has announced itself.
    slots, cold_start_ms, ready_ms : int
        Slots, cold start time, and wall-clock ms of the announcement.
    """

    node_id: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    version: int
    status: Status = Status.ALIVE
    phase: Phase = Phase.ABSENT
    service: str = ''
    slots: int = 0
    cold_start_ms: int = 0
    ready_ms: int = 0
