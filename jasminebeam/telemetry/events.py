"""Numbered log events."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import sys
import typing

import logbook
import msgspec

from jasminebeam import clock
from jasminebeam.telemetry import output

if typing.TYPE_CHECKING:
    import prometheus_client

    from jasminebeam.telemetry import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class EventKind:
    """Number, level and text of one kind of event."""

    number: int
    level: int
    text: str


class Event(enum.Enum):
    """Catalogue of the events; docs/events.md explains each."""

    NODE_STARTED = EventKind(100, logbook.INFO, 'node started')
    NODE_STOPPING = EventKind(101, logbook.INFO, 'graceful stop started')
    NODE_STOPPED = EventKind(102, logbook.INFO, 'node stopped')
    TASK_FAILED = EventKind(103, logbook.ERROR, 'background task failed')
    SETTINGS_RELOADED = EventKind(104, logbook.INFO, 'settings reloaded')
    SETTINGS_REFUSED = EventKind(105, logbook.ERROR, 'settings refused')
    UPSTREAM_ANNOUNCED = EventKind(200, logbook.INFO, 'upstream announced')
    UPSTREAM_DRAINING = EventKind(201, logbook.INFO, 'upstream draining')
    UPSTREAM_DETACHED = EventKind(
        202,
        logbook.WARNING,
        'upstream detached: another one answers at its address',
    )
    HEARTBEAT_REFUSED = EventKind(203, logbook.WARNING, 'heartbeat refused')
    UPSTREAM_LOST = EventKind(204, logbook.WARNING, 'upstream unreachable')
    UPSTREAM_FOUND = EventKind(205, logbook.INFO, 'upstream reachable again')
    LIMIT_NAMED = EventKind(
        206, logbook.WARNING, 'upstream named a rate limit'
    )
    LIMIT_MALFORMED = EventKind(
        207, logbook.WARNING, 'malformed rate limit ignored'
    )
    LIMIT_ENDED = EventKind(
        208, logbook.INFO, 'upstream no longer names a rate limit'
    )
    UPSTREAM_LEAVING = EventKind(
        209, logbook.INFO, 'upstream stated that it is about to stop'
    )
    LOAD_MALFORMED = EventKind(
        210, logbook.WARNING, 'malformed load report ignored'
    )
    RESPONSE_UNUSABLE = EventKind(
        211,
        logbook.WARNING,
        'connection to the upstream closed: unusable response',
    )
    UPSTREAM_SUSPENDED = EventKind(
        212,
        logbook.WARNING,
        'upstream out of service: unusable responses',
    )
    UPSTREAM_RESUMED = EventKind(
        213, logbook.INFO, 'upstream back in service: responses usable'
    )
    UPSTREAM_COLD = EventKind(
        214, logbook.WARNING, 'upstream is cold: requests are paced'
    )
    UPSTREAM_WARM = EventKind(215, logbook.INFO, 'upstream is warm')
    UPSTREAM_SILENT = EventKind(
        216,
        logbook.WARNING,
        'upstream may be cold: no response to health checks',
    )
    COLD_MALFORMED = EventKind(
        217, logbook.WARNING, 'malformed time until the end of a cold start'
    )
    LINK_LOST = EventKind(300, logbook.WARNING, 'peer connection lost')
    REQUEST_REVOKED = EventKind(301, logbook.INFO, 'request revoked')
    FRAME_REFUSED = EventKind(302, logbook.WARNING, 'peer frame refused')
    PEER_UNAUTHORIZED = EventKind(303, logbook.WARNING, 'peer key refused')
    NOTICE_RETURNED = EventKind(
        304, logbook.INFO, 'restarted sidecar told what it had stated before'
    )
    PEER_ANSWER_MALFORMED = EventKind(
        305, logbook.WARNING, 'malformed answer of a sidecar refused'
    )
    MEMBER_JOINED = EventKind(400, logbook.INFO, 'member joined')
    MEMBER_SUSPECTED = EventKind(401, logbook.INFO, 'member suspected')
    MEMBER_DEAD = EventKind(402, logbook.WARNING, 'member declared dead')
    MEMBER_LEFT = EventKind(403, logbook.INFO, 'member left')
    SELF_REFUTED = EventKind(
        404, logbook.WARNING, 'conflicting record of this node refuted'
    )
    DOMAIN_UNREACHABLE = EventKind(
        405,
        logbook.WARNING,
        'failure domain unreachable; suspicion timeout extended',
    )
    DOMAIN_RECOVERED = EventKind(
        406, logbook.INFO, 'failure domain no longer unreachable'
    )
    CONFIG_APPLIED = EventKind(500, logbook.INFO, 'revision in force')
    CONFIG_REFUSED = EventKind(
        501, logbook.WARNING, 'invalid revision ignored'
    )
    RELAY_ACQUIRED = EventKind(502, logbook.INFO, 'relay lease acquired')
    RELAY_LOST = EventKind(
        503, logbook.WARNING, 'relay lease lost or released'
    )
    STORE_UNAVAILABLE = EventKind(504, logbook.WARNING, 'store unavailable')
    STORE_AVAILABLE = EventKind(505, logbook.INFO, 'store available again')
    ROUTES_APPLIED = EventKind(506, logbook.INFO, 'route set in force')
    WATCH_GIVEN_UP = EventKind(
        507, logbook.WARNING, 'watch of the store given up'
    )
    SEED_REFUSED = EventKind(
        508, logbook.WARNING, 'malformed seed in the store ignored'
    )
    WATCH_STARTED = EventKind(509, logbook.INFO, 'watch of the store started')
    WATCH_STOPPED = EventKind(510, logbook.INFO, 'watch of the store stopped')
    DOMAIN_EVACUATED = EventKind(
        511, logbook.WARNING, 'failure domain evacuated'
    )
    DOMAIN_RESTORED = EventKind(
        512, logbook.INFO, 'evacuation of a failure domain withdrawn'
    )
    EVACUATION_REFUSED = EventKind(
        513, logbook.WARNING, 'malformed evacuation in the store ignored'
    )
    UPSTREAM_EJECTED = EventKind(
        600, logbook.WARNING, 'upstream ejected from selection'
    )
    ATTEMPT_SENT = EventKind(700, logbook.INFO, 'attempt sent')
    ATTEMPT_ENDED = EventKind(701, logbook.INFO, 'attempt ended')
    REQUEST_ENDED = EventKind(702, logbook.INFO, 'request ended')
    REQUEST_UNMATCHED = EventKind(703, logbook.INFO, 'no route matches')
    ALL_REFUSE = EventKind(
        704, logbook.INFO, 'all sidecars that replied would refuse'
    )
    REQUEST_OVERSIZED = EventKind(
        705, logbook.WARNING, 'connection closed: request without end'
    )
    REQUEST_MALFORMED = EventKind(706, logbook.INFO, 'request malformed')
    REQUEST_FAILED = EventKind(
        707, logbook.ERROR, 'unexpected error while processing a request'
    )
    ANSWER_UNREAD = EventKind(
        708, logbook.WARNING, 'connection closed: caller reads no answer'
    )
    REQUEST_REFUSED = EventKind(
        710, logbook.INFO, 'request ended without running'
    )
    REQUEST_STARTED = EventKind(
        711, logbook.INFO, 'sending request to the upstream'
    )
    RUN_ENDED = EventKind(
        712, logbook.INFO, 'exchange with the upstream ended'
    )
    KEY_REFUSED = EventKind(
        720, logbook.INFO, 'request without the key of a team refused'
    )
    TEAM_SHED = EventKind(
        721, logbook.INFO, 'queued request refused in favour of another team'
    )
    BODY_GIVEN_UP = EventKind(730, logbook.WARNING, 'request body given up')
    CONNECTIONS_CLOSED = EventKind(
        731,
        logbook.WARNING,
        'connections of callers closed to make room for others',
    )
    PEER_BODY_GIVEN_UP = EventKind(
        732, logbook.WARNING, 'request body of a peer given up'
    )
    TEAM_LIMITED = EventKind(
        740, logbook.INFO, 'team sends more than its rate limit'
    )
    TEAM_COORDINATOR_SILENT = EventKind(
        741, logbook.INFO, 'coordinator of a rate limit does not answer'
    )
    TEAM_LIMITS_APPLIED = EventKind(
        742, logbook.INFO, 'rate limits of teams in force'
    )
    ANSWER_WITHOUT_ROOM = EventKind(
        750, logbook.WARNING, 'no room for an answer until its deadline'
    )
    ANSWER_UNTAKEN = EventKind(
        751, logbook.WARNING, 'answer that no ingress node takes given up'
    )
    REGION_REFUSED = EventKind(
        760, logbook.INFO, 'no allowed region has an upstream'
    )
    ALLOWED_REGIONS_APPLIED = EventKind(
        761, logbook.INFO, 'allowed regions in force'
    )
    REQUEST_PUSHED_BACK = EventKind(
        770, logbook.INFO, 'queued request refused: it would become late'
    )
    TEAMS_APPLIED = EventKind(780, logbook.INFO, 'teams in force')


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One occurrence of an event."""

    time_ms: int
    kind: EventKind
    fields: dict[str, object]


class EventLog:
    """Writes events, counts them and passes them to subscribers.

    Parameters
    ----------
    node_id : str
        Name of the node, part of each record.
    counters : Metrics
        Counts the events by number.
    """

    def __init__(self, node_id: str, counters: metrics.Metrics) -> None:
        self._logger = logbook.Logger(node_id)
        self._counters = counters
        self._subscribers: list[asyncio.Queue[Record]] = []
        self._counters_by_number: dict[int, prometheus_client.Counter] = {}

    @contextlib.contextmanager
    def subscribe(self, queue: asyncio.Queue[Record]) -> typing.Iterator[None]:
        """Copy events to a queue; events are dropped while it is full."""
        self._subscribers.append(queue)
        try:
            yield
        finally:
            self._subscribers.remove(queue)

    def write(self, event: Event, **fields: object) -> None:
        """Write one event with its fields."""
        kind = event.value
        self._count(kind.number)
        # `log` does the same by three more calls. A node writes five events
        # for a request.
        self._logger.make_record_and_handle(
            kind.level,
            kind.text,
            args=(),
            kwargs={},
            exc_info=None,
            extra={'number': kind.number, 'fields': fields},
            frame_correction=0,
        )
        if not self._subscribers:
            return
        record = Record(clock.wall_ms(), kind, fields)
        for queue in self._subscribers:
            if not queue.full():
                queue.put_nowait(record)

    def _count(self, number: int) -> None:
        counter = self._counters_by_number.get(number)
        if counter is None:
            counter = self._counters.events.labels(str(number))
            self._counters_by_number[number] = counter
        counter.inc()


def open_handler(log_format: str, level: str) -> output.LineHandler:
    """Return a handler that writes events to standard output.

    Parameters
    ----------
    log_format : str
        ``text`` or ``json`` (one object a line).
    level : str
        Name of the lowest level that is written.
    """
    handler = output.LineHandler(
        sys.stdout.fileno(), level=logbook.lookup_level(level.upper())
    )
    handler.formatter = _format_json if log_format == 'json' else _format_text
    return handler


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = msgspec.json.encode(
        {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name,
            'node': record.channel,
            'event': record.extra.get('number', 0),
            'text': record.message,
            **record.extra.get('fields', {}),
        },
        enc_hook=str,
    )
    return line.decode()


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = record.extra.get('fields', {})
    pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
    return (
        f'{record.time.isoformat(timespec="milliseconds")} '
        f'{record.level_name} {record.channel} '
        f'[{record.extra.get("number", 0)}] {record.message} {pairs}'
    ).rstrip()
