"""Prometheus metrics of one node."""

from __future__ import annotations

import math

import prometheus_client

from jasminebeam.telemetry import team_counts

LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Metrics:
    """Counters, gauges and histograms in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.team_requests = team_counts.TeamCounts()
        self.registry.register(self.team_requests)
        self._add_requests()
        self._add_peering()
        self._add_control()
        self._add_gauges()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _add_requests(self) -> None:
        self.requests = self._counter(
            'requests', 'Requests by service and outcome.', 'service outcome'
        )
        self.retries = self._counter(
            'retries', 'Attempts sent again, by reason.', 'service reason'
        )
        self.retries_denied = self._counter(
            'retries_denied',
            'Retries and hedges that were not sent, by reason.',
            'service reason',
        )
        self.hedges = self._counter(
            'hedges', 'Hedged attempts by result.', 'service result'
        )
        self.refusals = self._counter(
            'refusals', 'Requests refused by the sidecar.', 'reason'
        )
        self.caller_errors = self._counter(
            'caller_errors', 'Malformed caller requests.', 'status'
        )
        self.keys_refused = self._counter(
            'keys_refused',
            'Requests refused for their key, by reason.',
            'reason',
        )
        self.answers_given_up = self._counter(
            'answers_given_up',
            'Large answers that were not passed on.',
            'cause',
        )
        self.team_sheds = self._counter(
            'team_sheds',
            'Queued requests refused in favour of another team.',
            '',
        )
        self.pushed_back = self._counter(
            'pushed_back',
            'Queued requests refused because they would become late.',
            '',
        )
        self.team_tokens = self._counter(
            'team_tokens',
            'Tokens of limited teams that were passed on or lost, by kind.',
            'kind',
        )
        self.restricted_requests = self._counter(
            'restricted_requests',
            'Requests that not all regions may serve, by where they may run.',
            'service scope',
        )
        self.runs = self._counter(
            'runs', 'Requests handed to the upstream.', 'outcome'
        )
        self.ejections = self._counter(
            'ejections', 'Upstreams ejected from selection.', 'service'
        )
        self.unusable_responses = self._counter(
            'unusable_responses',
            'Connections to upstreams closed for what they sent, by reason.',
            'reason',
        )
        self.cold_checks = self._counter(
            'cold_checks',
            'Health checks of an upstream whose service has a cold-start '
            'rate.',
            '',
        )
        self.latency = self._histogram(
            'request_seconds', 'Time to answer a caller.', 'service'
        )
        self.queue_wait = self._histogram(
            'queue_seconds', 'Time that requests waited for a slot.', ''
        )

    def _add_peering(self) -> None:
        self.late_answers = self._counter(
            'late_answers', 'Answers dropped because nobody waits.', ''
        )
        self.revocations = self._counter(
            'revocations', 'Revocations by result.', 'result'
        )
        self.links_lost = self._counter(
            'links_lost', 'Connections to peers lost, by reason.', 'reason'
        )
        self.frames_refused = self._counter(
            'frames_refused', 'Inner protocol frames refused.', ''
        )
        self.probes = self._counter(
            'probes', 'Load probes by result.', 'service result'
        )
        self.probe_bytes = self._counter(
            'probe_bytes', 'Bytes of load probes, both ways.', 'service'
        )

    def _add_control(self) -> None:
        self.control_bytes = self._counter(
            'control_bytes', 'Bytes of control messages.', 'direction type'
        )
        self.control_dropped = self._counter(
            'control_dropped', 'Control items dropped, by reason.', 'reason'
        )
        self.region_bytes = self._counter(
            'region_bytes',
            'Bytes exchanged with other regions over own connections.',
            'region direction type',
        )
        self.store_calls = self._counter(
            'store_calls',
            'Calls to the store by kind and result.',
            'kind result',
        )
        self.heartbeats_refused = self._counter(
            'heartbeats_refused', 'Malformed heartbeats of upstreams.', ''
        )
        self.events = self._counter(
            'events', 'Log events by number.', 'number'
        )

    def _add_gauges(self) -> None:
        self.in_flight = self._gauge('in_flight', 'Requests at the upstream.')
        self.queued = self._gauge('queued', 'Requests that wait for a slot.')
        self.upstream_limit = self._gauge(
            'upstream_limit_per_s',
            'Rate limit that the upstream names; NaN if there is none.',
        )
        self.upstream_limit.set(math.nan)
        self.upstream_cold = self._gauge(
            'upstream_cold',
            '1 while requests are paced because the upstream is or may be '
            'cold.',
        )
        self.members = prometheus_client.Gauge(
            'jasminebeam_members',
            'Known members by status.',
            ['status'],
            registry=self.registry,
        )
        self.config_revision = self._gauge(
            'config_revision', 'Highest configuration revision in force.'
        )
        self.evacuated_domains = self._gauge(
            'evacuated_domains', 'Failure domains that are evacuated.'
        )
        self.store_age = self._gauge(
            'store_age_seconds',
            'Time since the store last answered a node; -1 if unknown.',
        )

    def _counter(
        self, name: str, text: str, labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'jasminebeam_{name}',
            text,
            labels.split(),
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'jasminebeam_{name}', text, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, labels: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f'jasminebeam_{name}',
            text,
            labels.split(),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
