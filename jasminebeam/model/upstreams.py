"""Upstreams, the nodes that serve as their sidecars, and their load."""

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
    """State of a member according to the failure detector."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Address and properties of an upstream, as announced to its node.

    Parameters
    ----------
    service : str
        Service that the upstream belongs to.
    port : int
        Port of the upstream's HTTP server.
    slots : int
        Maximum number of requests that the upstream processes concurrently;
        0 if only its load reports contain the number.
    connections : int
        Maximum number of connections that the upstream accepts.
    cold_start_ms : int
        Time from the announcement until the upstream runs at full speed.
    shed_status : int
        HTTP status of requests that the upstream sheds before it runs
        them; 0 if there is none.
    shed_header : str
        Header that marks a shed request together with the status; empty if
        the status is enough.
    load_path : str
        Path of the load report; empty if there is none.
    host : str
        Address of the upstream's HTTP server.
    upstream_id : str
        Identity that is sent with each request; empty if there is none.
    started_ms : int
        Wall-clock ms of the upstream's start; 0 if unknown.
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
    started_ms: int = 0


NORMAL_SLOWNESS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports about itself.

    Parameters
    ----------
    running, waiting, slots : int
        Requests in progress, requests waiting, and maximum number of
        requests in progress.
    slowness : float or None
        Current service time as a multiple of the normal one; None if the
        upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class NoticeSource(enum.Enum):
    """Kind of the answer that carries a notice."""

    ANSWER = 'answer'
    REFUSAL = 'refusal'
    HEALTH = 'health'


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an upstream states about itself in one answer.

    Parameters
    ----------
    limit_per_s : float or None
        Rate of requests that the upstream accepts from all nodes together;
        None if the answer names no valid rate.
    leaving : bool
        True if the upstream is about to stop.
    malformed_limit : str
        Text in place of a rate that is not one; empty if there is none.
    malformed_load : str
        Text in place of a load report that is not one; empty if there is
        none.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    malformed_limit: str = ''
    malformed_load: str = ''


NO_NOTICE = Notice()


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Result of one health check.

    Parameters
    ----------
    healthy : bool
        True if the upstream reports that it accepts work.
    upstream_id : str
        Identity of the upstream that answered; empty if it gave none.
    report : LoadReport or None
        Load, if the answer contains it.
    listening : bool
        False if the connection was refused, so no process has the address.
    cold_ms : float or None
        Time for which the upstream stays cold; 0 if it is warm, None if what
        it states is malformed.
    """

    healthy: bool
    upstream_id: str = ''
    report: LoadReport | None = None
    listening: bool = True
    cold_ms: float | None = 0.0


NOT_LISTENING = Health(healthy=False, listening=False)


class LoadSample(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load of one upstream, as its sidecar measures it.

    Parameters
    ----------
    sequence : int
        Increases with each sample of one sidecar.
    in_flight, queued, slots : int
        Requests at the upstream, requests queued at the sidecar, and
        slots of the upstream.
    service_us : int
        Smoothed service time of recent requests in microseconds.
    oldest_us : int
        Age of the oldest request in flight in microseconds.
    reported : int
        Load according to the upstream's latest report, which may be
        stale; -1 if unknown.
    phase : Phase
        Readiness for new work.
    slowness_percent : int
        Current service time on the host in percent of the normal one; 100
        is normal.
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
    """Record of one node and its local upstream, spread by gossip.

    Parameters
    ----------
    node_id : str
        Unique name of the node.
    address : str
        ``host:port`` of the node's peer socket.
    failure_domain, region : str
        Location of the host.
    incarnation : int
        Start time of the process in ms since the epoch.
    version : int
        Increases with each change that the node itself publishes.
    status : Status
        Liveness of the node.
    phase : Phase
        Readiness of the upstream.
    service : str
        Service of the upstream; empty until an upstream announces itself.
    slots, cold_start_ms, ready_ms : int
        Slots, duration of the cold start, and wall-clock time of the
        announcement in ms.
    has_store_contact : bool
        False if the store has not answered the node's latest call. Only
        nodes that use the store for their failure domain publish it.
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
    has_store_contact: bool = True
