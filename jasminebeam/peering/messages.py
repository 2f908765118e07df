"""Messages that nodes exchange with each other."""

from __future__ import annotations

from jasminebeam.model import requests
from jasminebeam.model import routes
from jasminebeam.model import services
from jasminebeam.model import upstreams
from jasminebeam.peering import answer_messages
from jasminebeam.peering import base
from jasminebeam.peering import body_messages
from jasminebeam.peering import cold_messages
from jasminebeam.peering import evacuation_messages
from jasminebeam.peering import token_messages

PROTOCOL_VERSION = 1

UNKNOWN_AGE_MS = -1


Message = base.Message


class Hello(Message, tag=1):
    """Opens a session with a sidecar.

    Parameters
    ----------
    node_id : str
        Name of the ingress node.
    boot_id : int
        Random number that identifies the process of the ingress node.
    """

    node_id: str
    boot_id: int


class Welcome(Message, tag=2):
    """Grants a session; ``boot_id`` identifies the sidecar's process."""

    boot_id: int
    session: int
    sample: upstreams.LoadSample


class Request(Message, tag=3):
    """Asks a sidecar to run a request.

    Parameters
    ----------
    boot_id, session, sequence : int
        Identity of the request: a sidecar runs it at most once.
    time_left_us : int
        Time from the sending of this message until the deadline.
    max_wait_us : int
        Maximum predicted wait for a slot; the sidecar refuses the request
        if it predicts a longer one.
    objective_left_us : int
        Time from the sending of this message until the latency objective;
        0 if there is none, negative once it has passed.
    request_id, service, method, target, headers, body, idempotent, key, \
priority, route
        As in `jasminebeam.model.requests.Call`.
    """

    boot_id: int
    session: int
    sequence: int
    time_left_us: int
    max_wait_us: int
    request_id: str
    service: str
    method: str
    target: str
    headers: requests.Headers
    body: bytes
    idempotent: bool
    key: str
    priority: int = 255
    route: str = ''
    objective_left_us: int = 0


class Reply(Message, tag=4):
    """Carries the answer of an upstream and a load sample."""

    session: int
    sequence: int
    status: int
    headers: requests.Headers
    body: bytes
    sample: upstreams.LoadSample


class Failure(Message, tag=5):
    """Reports that a request ended without an answer.

    Parameters
    ----------
    may_have_run : bool
        False only if the request provably did not run.
    reason : str
        Value of `jasminebeam.verdict.Reason`.
    """

    session: int
    sequence: int
    may_have_run: bool
    reason: str
    sample: upstreams.LoadSample


class Cancel(Message, tag=6):
    """Withdraws a request whose answer is no longer needed."""

    boot_id: int
    session: int
    sequence: int


class Revoke(Message, tag=7):
    """Asks for the state of a request and prevents it from starting."""

    boot_id: int
    session: int
    sequence: int


class Running(Message, tag=8):
    """Answers `Revoke` for a request that has started; its result follows."""

    session: int
    sequence: int


class Ping(Message, tag=9):
    """Checks that a connection still delivers messages."""

    nonce: int


class Pong(Message, tag=10):
    """Answers a ping."""

    nonce: int


class Probe(Message, tag=11):
    """Asks for a load sample."""

    nonce: int


class ProbeReply(Message, tag=12):
    """Carries a load sample."""

    nonce: int
    sample: upstreams.LoadSample


class Heartbeat(Message, tag=13):
    """Checks that a member is alive and spreads changes by gossip.

    Parameters
    ----------
    nonce : int
        Number that the acknowledgement repeats.
    node_id : str
        Name of the sending node.
    member_digest, config_digest : int
        64-bit digests of the sender's member and service tables.
    members : tuple of Member
        Member records that changed recently.
    revisions : tuple of ServiceRevision
        Service definitions that changed recently.
    routes_revision : int
        Revision of the sender's route set; 0 if it has none.
    store_age_ms : int
        Time since the store last answered a node from which the sender has
        heard; -1 if unknown.
    """

    nonce: int
    node_id: str
    member_digest: int
    config_digest: int
    members: tuple[upstreams.Member, ...] = ()
    revisions: tuple[services.ServiceRevision, ...] = ()
    routes_revision: int = 0
    store_age_ms: int = UNKNOWN_AGE_MS


class HeartbeatAck(Message, tag=14):
    """Acknowledges a heartbeat; has the same fields as `Heartbeat`."""

    nonce: int
    node_id: str
    member_digest: int
    config_digest: int
    members: tuple[upstreams.Member, ...] = ()
    revisions: tuple[services.ServiceRevision, ...] = ()
    routes_revision: int = 0
    store_age_ms: int = UNKNOWN_AGE_MS


class IndirectProbe(Message, tag=15):
    """Asks the receiver to check a member on the sender's behalf.

    Parameters
    ----------
    node_id : str
        Member to check.
    reply_address : str
        Peer address that the result is sent to.
    """

    node_id: str
    reply_address: str


class IndirectResult(Message, tag=16):
    """Reports that the member of an `IndirectProbe` has answered."""

    node_id: str


class SyncRequest(Message, tag=17):
    """Starts the anti-entropy repair of tables that differ.

    Parameters
    ----------
    sender : Member
        The sending node's own record.
    member_groups : tuple of int
        Digests of the sender's member table by group.
    config_buckets : tuple of int
        Digests of the sender's service table by bucket; empty to leave
        that table out of the comparison.
    routes_revision : int
        Revision of the sender's route set; 0 if it has none.
    """

    sender: upstreams.Member
    member_groups: tuple[int, ...]
    config_buckets: tuple[int, ...]
    routes_revision: int = 0


class SyncDetail(Message, tag=18):
    """Carries the bucket digests of the groups that differ.

    Parameters
    ----------
    groups : tuple of int
        Indexes of the groups.
    buckets : tuple of tuple of int
        Digests of the buckets of each group.
    """

    groups: tuple[int, ...]
    buckets: tuple[tuple[int, ...], ...]


class SyncPull(Message, tag=21):
    """Asks for the member records of some buckets."""

    buckets: tuple[int, ...]


class Sync(Message, tag=22):
    """Carries records of the member and service tables."""

    members: tuple[upstreams.Member, ...] = ()
    revisions: tuple[services.ServiceRevision, ...] = ()


class RevisionQuery(Message, tag=19):
    """Asks which revision of a service is in force at the receiver."""

    nonce: int
    service: str


class RevisionReply(Message, tag=20):
    """Carries the revision in force; 0 if the service is unknown."""

    nonce: int
    node_id: str
    revision: int


class RoutesQuery(Message, tag=23):
    """Asks for the route set if its revision is higher than this one."""

    revision: int


class RoutesReply(Message, tag=24):
    """Carries the sender's route set."""

    route_set: routes.RouteSet


class AdmissionQuery(Message, tag=25):
    """Asks whether a sidecar would accept a request, without sending it.

    Parameters
    ----------
    nonce : int
        Number that the reply repeats.
    service, route, priority, time_left_us, objective_left_us
        As in `Request`.
    """

    nonce: int
    service: str
    route: str
    priority: int
    time_left_us: int
    objective_left_us: int


class AdmissionReply(Message, tag=26):
    """States whether a sidecar would accept a request at this moment.

    Parameters
    ----------
    nonce : int
        Nonce of the query.
    reason : str
        Value of `jasminebeam.verdict.Reason`: why the sidecar would refuse
        the request, or ``none``.
    wait_us : int
        Expected time until the request would start.
    sample : LoadSample
        Load at this moment.
    """

    nonce: int
    reason: str
    wait_us: int
    sample: upstreams.LoadSample


class UpstreamNotice(Message, tag=27):
    """States the rate limit of an upstream, and whether it leaves.

    A sidecar sends this message ahead of its load samples while either
    applies, except ahead of that of ``Welcome``. Another sample without it
    shows that neither applies. An ingress node sends the last one that it
    has received to a sidecar that has restarted since then, ahead of its
    first request.

    Parameters
    ----------
    upstream_id : str
        Identity of the upstream; empty if it has none.
    started_ms : int
        Wall-clock ms of the upstream's start; 0 if unknown.
    limit_per_s : float or None
        Rate of requests that the upstream accepts from all nodes together;
        None if there is no limit.
    wait_us : int
        Time until the upstream takes a further request.
    leaving : bool
        True if the upstream has stated that it is about to stop.
    recent_starts : int
        Requests that the upstream has received within the window of the
        limit.
    """

    upstream_id: str
    started_ms: int
    limit_per_s: float | None
    wait_us: int
    leaving: bool
    recent_starts: int = 0


class WatchReport(Message, tag=28):
    """States that a node watches the configuration for its failure domain.

    Parameters
    ----------
    watcher_id : str
        Node that calls the store.
    age_ms : int
        Time since the store answered it; negative if it calls in vain.
    routes_revision : int
        Revision of the sender's route set; 0 if it has none.
    """

    watcher_id: str
    age_ms: int
    routes_revision: int


class WatchReportAck(Message, tag=29):
    """Acknowledges a report, which shows that the connection works."""


class TeamRequest(Request, tag=36):
    """Asks a sidecar to run a request of a team.

    A type of its own, so that requests without a team cost no further byte.

    Parameters
    ----------
    team : str
        Name of the team. The other fields are those of `Request`.
    """

    team: str = ''


class TeamAdmissionQuery(AdmissionQuery, tag=37):
    """Asks whether a sidecar would accept a request of a team.

    Parameters
    ----------
    team : str
        Name of the team. The other fields are those of `AdmissionQuery`.
    """

    team: str = ''


AnyMessage = (
    Hello
    | Welcome
    | Request
    | Reply
    | Failure
    | Cancel
    | Revoke
    | Running
    | Ping
    | Pong
    | Probe
    | ProbeReply
    | Heartbeat
    | HeartbeatAck
    | IndirectProbe
    | IndirectResult
    | SyncRequest
    | SyncDetail
    | SyncPull
    | Sync
    | RevisionQuery
    | RevisionReply
    | RoutesQuery
    | RoutesReply
    | AdmissionQuery
    | AdmissionReply
    | UpstreamNotice
    | WatchReport
    | WatchReportAck
    | TeamRequest
    | TeamAdmissionQuery
    | body_messages.LargeRequest
    | body_messages.BodyCredit
    | body_messages.BodyPart
    | token_messages.TokenRequest
    | token_messages.TokenGrant
    | token_messages.TokenCollection
    | token_messages.TokenSurplus
    | cold_messages.ColdNotice
    | evacuation_messages.EvacuationsUpdate
    | evacuation_messages.EvacuationsDigest
    | answer_messages.LargeAnswer
    | answer_messages.AnswerCredit
    | answer_messages.AnswerPart
)

CONTROL_TYPES = (
    Heartbeat,
    HeartbeatAck,
    IndirectProbe,
    IndirectResult,
    SyncRequest,
    SyncDetail,
    SyncPull,
    Sync,
    RevisionQuery,
    RevisionReply,
    RoutesQuery,
    RoutesReply,
    WatchReport,
    WatchReportAck,
    evacuation_messages.EvacuationsUpdate,
    evacuation_messages.EvacuationsDigest,
)
