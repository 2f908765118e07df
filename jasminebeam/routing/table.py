"""What one ingress node knows of the upstreams that it may choose."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import upstreams
from jasminebeam.routing import subset
from jasminebeam import verdict

ROUND_TRIP_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
EJECT_FAILURE_RATE = 0.5
EJECT_CONSECUTIVE = 3
EJECT_BASE_MS = 1_000.0
EJECT_MAX_MS = 30_000.0

# Refusals that say nothing about the health of the upstream.
_HARMLESS = frozenset(
    {
        verdict.Reason.CANCELLED,
        verdict.Reason.REVOKED,
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.BUSY,
        verdict.Reason.WOULD_MISS_DEADLINE,
        verdict.Reason.DEADLINE,
        verdict.Reason.SHED,
        verdict.Reason.DRAINING,
        verdict.Reason.STOPPING,
        verdict.Reason.KEY_BUSY,
        verdict.Reason.KEY_CONFLICT,
        verdict.Reason.KEY_TABLE_FULL,
    }
)


class UpstreamState:
    """Load, failures and own requests of one upstream.

    Parameters
    ----------
    member : Member
        The node beside the upstream.
    round_trip_ms : float
        First estimate of the round trip.
    same_domain : bool
        True if it is in this node's failure domain.
    """

    __slots__ = (
        'consecutive_failures',
        'ejected_until_ms',
        'ejections',
        'failure_rate',
        'measured',
        'member',
        'outstanding',
        'round_trip_ms',
        'same_domain',
        'sample',
        'sample_ms',
        'sent_since_sample',
    )

    def __init__(
        self,
        member: upstreams.Member,
        round_trip_ms: float,
        same_domain: bool = True,
    ) -> None:
        self.member = member
        self.same_domain = same_domain
        self.round_trip_ms = round_trip_ms
        self.measured = False
        self.sample: upstreams.LoadSample | None = None
        self.sample_ms = 0.0
        self.sent_since_sample = 0
        self.outstanding: dict[int, float] = {}
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0
        self.ejections = 0

    def replace_member(self, member: upstreams.Member) -> None:
        """Take over a changed record; older samples may not apply."""
        if member.incarnation != self.member.incarnation:
            self.ejected_until_ms = 0.0
            self.sample = None
        elif member.phase is not self.member.phase:
            self.sample = None
        self.member = member

    def on_sample(self, sample: upstreams.LoadSample, now_ms: float) -> None:
        """Record a load sample unless a newer one is known."""
        known = self.sample
        if known is not None and sample.sequence <= known.sequence:
            return
        self.sample = sample
        self.sample_ms = now_ms
        self.sent_since_sample = 0

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Record the time that a ping and its answer took."""
        if not self.measured:
            self.measured = True
            self.round_trip_ms = round_trip_ms
            return
        change_ms = round_trip_ms - self.round_trip_ms
        self.round_trip_ms += ROUND_TRIP_WEIGHT * change_ms

    def on_sent(self, token: int, now_ms: float) -> None:
        """Record the sending of an attempt."""
        self.outstanding[token] = now_ms
        self.sent_since_sample += 1

    def on_result(
        self, token: int, result: verdict.Verdict, now_ms: float
    ) -> bool:
        """Record the end of an attempt; True if it ejects the upstream."""
        self.outstanding.pop(token, None)
        if result.reason in _HARMLESS:
            return False
        if not verdict.is_failure(result):
            self.failure_rate *= 1 - FAILURE_WEIGHT
            self.consecutive_failures = 0
            if now_ms >= self.ejected_until_ms:
                self.ejections = 0
            return False
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        self.consecutive_failures += 1
        return self._eject(now_ms)

    def is_ejected(self, now_ms: float) -> bool:
        """Return True while the upstream must not be chosen."""
        return now_ms < self.ejected_until_ms

    def own_oldest_ms(self, now_ms: float) -> float:
        """Return the age of this node's oldest attempt in progress."""
        if not self.outstanding:
            return 0.0
        return now_ms - next(iter(self.outstanding.values()))

    def _eject(self, now_ms: float) -> bool:
        if self.is_ejected(now_ms):
            return False
        if (
            self.consecutive_failures < EJECT_CONSECUTIVE
            and self.failure_rate < EJECT_FAILURE_RATE
        ):
            return False
        duration_ms = min(EJECT_BASE_MS * 2**self.ejections, EJECT_MAX_MS)
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Where this node is; used for first estimates of round trips."""

    node_id: str
    failure_domain: str
    region: str


LOCAL_ROUND_TRIP_MS = 0.5
DOMAIN_ROUND_TRIP_MS = 6.0
REGION_ROUND_TRIP_MS = 40.0


class RoutingTable:
    """The upstreams of each service, kept in step with membership.

    Loads and failures are kept only for services that this node calls;
    of all others it keeps no more than the member records.

    Parameters
    ----------
    place : Place
        Where this node is.
    """

    def __init__(self, place: Locality) -> None:
        self._place = place
        self._members: dict[str, dict[str, upstreams.Member]] = {}
        self._service_of: dict[str, str] = {}
        self._states: dict[str, UpstreamState] = {}
        self._subsets: dict[str, tuple[UpstreamState, ...]] = {}
        self.silent_domains: frozenset[str] = frozenset()

    def update(self, member: upstreams.Member) -> None:
        """Take over a changed member record."""
        if member.status in (upstreams.Status.DEAD, upstreams.Status.LEFT):
            self.remove(member.node_id)
            return
        if self._service_of.get(member.node_id, '') != member.service:
            self.remove(member.node_id)
        state = self._states.get(member.node_id)
        if state is not None:
            state.replace_member(member)
        if not member.service:
            return
        of_service = self._members.setdefault(member.service, {})
        if member.node_id not in of_service:
            self._subsets.pop(member.service, None)
        of_service[member.node_id] = member
        self._service_of[member.node_id] = member.service

    def remove(self, node_id: str) -> None:
        """Forget a member."""
        self._states.pop(node_id, None)
        service = self._service_of.pop(node_id, None)
        if service is None:
            return
        self._subsets.pop(service, None)
        del self._members[service][node_id]
        if not self._members[service]:
            del self._members[service]

    def state(self, node_id: str) -> UpstreamState | None:
        """Return what is known of an upstream that this node uses."""
        return self._states.get(node_id)

    def members_of(
        self, service: str
    ) -> typing.Mapping[str, upstreams.Member]:
        """Return the records of all known upstreams of a service."""
        return self._members.get(service, {})

    def get_or_create_state(self, node_id: str) -> UpstreamState:
        """Return the state of a known upstream, created at first use."""
        state = self._states.get(node_id)
        if state is None:
            member = self._members[self._service_of[node_id]][node_id]
            state = UpstreamState(
                member,
                self._first_round_trip_ms(member),
                member.failure_domain == self._place.failure_domain,
            )
            self._states[node_id] = state
        return state

    def subset_of(
        self, service: str, subset_size: int
    ) -> tuple[UpstreamState, ...]:
        """Return the upstreams of a service that this node uses."""
        known = self._subsets.get(service)
        if known is None:
            members = self._members.get(service, {})
            chosen = subset.choose(self._place.node_id, members, subset_size)
            known = tuple(map(self.get_or_create_state, chosen))
            self._subsets[service] = known
        return known

    def invalidate(self, service: str) -> None:
        """Choose the subset anew, because the service has changed."""
        self._subsets.pop(service, None)

    def _first_round_trip_ms(self, member: upstreams.Member) -> float:
        if member.failure_domain == self._place.failure_domain:
            return LOCAL_ROUND_TRIP_MS
        if member.region == self._place.region:
            return DOMAIN_ROUND_TRIP_MS
        return REGION_ROUND_TRIP_MS
