"""Routing table: the upstreams that one ingress node may choose."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import upstreams
from jasminebeam.routing import allowed_regions
from jasminebeam.routing import notices
from jasminebeam.routing import subset
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from jasminebeam.model import requests
    from jasminebeam.peering import cold_messages
    from jasminebeam.peering import messages

ROUND_TRIP_EWMA_WEIGHT = 0.2
FAILURE_EWMA_WEIGHT = 0.15
EJECT_FAILURE_RATE = 0.5
EJECT_CONSECUTIVE_FAILURES = 3
EJECT_BASE_MS = 1_000.0
EJECT_MAX_MS = 30_000.0

# Sets of allowed regions with a subset of each service. New configurations
# add sets, so the number must be bounded.
MAX_SUBSETS = 256

# Reasons that do not indicate a failure of the upstream.
_HEALTH_NEUTRAL_REASONS = frozenset(
    {
        verdict.Reason.CANCELLED,
        verdict.Reason.REVOKED,
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.BUSY,
        verdict.Reason.RATE_LIMITED,
        verdict.Reason.COLD,
        verdict.Reason.WOULD_MISS_DEADLINE,
        verdict.Reason.DEADLINE,
        verdict.Reason.SHED,
        verdict.Reason.DRAINING,
        verdict.Reason.STOPPING,
        verdict.Reason.KEY_BUSY,
        verdict.Reason.KEY_CONFLICT,
        verdict.Reason.KEY_TABLE_FULL,
        verdict.Reason.EVACUATED,
        verdict.Reason.NO_MEMORY,
        verdict.Reason.ANSWER_WITHOUT_ROOM,
    }
)


class UpstreamState:
    """Load, failures and this node's outstanding requests of one upstream.

    Parameters
    ----------
    member : Member
        Membership record of the upstream's node.
    round_trip_ms : float
        Initial estimate of the round trip time.
    same_domain, same_region : bool
        True if the upstream is in the failure domain, or in the region, of
        this node.
    """

    __slots__ = (
        'cold_until_ms',
        'consecutive_failures',
        'ejected_until_ms',
        'ejections',
        'failure_rate',
        'has_measured_round_trip',
        'is_cold',
        'limit_per_s',
        'limited_until_ms',
        'member',
        'outstanding',
        'round_trip_ms',
        'same_domain',
        'same_region',
        'sample',
        'sample_ms',
        'sent_since_sample',
    )

    def __init__(
        self,
        member: upstreams.Member,
        round_trip_ms: float,
        same_domain: bool = True,
        same_region: bool = True,
    ) -> None:
        self.member = member
        self.same_domain = same_domain
        self.same_region = same_region
        self.round_trip_ms = round_trip_ms
        self.has_measured_round_trip = False
        self.sample: upstreams.LoadSample | None = None
        self.sample_ms = 0.0
        self.sent_since_sample = 0
        self.outstanding: dict[int, float] = {}
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0
        self.ejections = 0
        # Rate limit that the upstream names; None if there is none.
        self.limit_per_s: float | None = None
        self.limited_until_ms = 0.0
        # True while the upstream is cold; it then has no room until later.
        self.is_cold = False
        self.cold_until_ms = 0.0

    def replace_member(self, member: upstreams.Member) -> None:
        """Replace the membership record.

        Drop the sample if it may not apply to the new record.
        """
        if member.incarnation != self.member.incarnation:
            self.ejected_until_ms = 0.0
            self.clear_notice()
            self.clear_cold()
            self.sample = None
        elif member.phase is not self.member.phase:
            self.sample = None
        self.member = member

    def on_sample(self, sample: upstreams.LoadSample, now_ms: float) -> None:
        """Record a load sample if it is newer than the stored one."""
        stored = self.sample
        if stored is not None and sample.sequence <= stored.sequence:
            return
        self.sample = sample
        self.sample_ms = now_ms
        self.sent_since_sample = 0

    def on_notice(
        self, notice: messages.UpstreamNotice, now_ms: float
    ) -> None:
        """Record the rate limit of the upstream."""
        self.limit_per_s = notice.limit_per_s
        self.limited_until_ms = now_ms + notice.wait_us / 1_000

    def clear_notice(self) -> None:
        """Record that the upstream names no rate limit."""
        self.limit_per_s = None
        self.limited_until_ms = 0.0

    def on_cold(self, notice: cold_messages.ColdNotice, now_ms: float) -> None:
        """Record that the upstream is cold, and when it has room again."""
        self.is_cold = True
        self.cold_until_ms = now_ms + notice.wait_us / 1_000

    def clear_cold(self) -> None:
        """Record that the upstream is warm."""
        self.is_cold = False
        self.cold_until_ms = 0.0

    @property
    def is_limited(self) -> bool:
        """True while the upstream takes requests at a limited rate only."""
        return self.is_cold or self.limit_per_s is not None

    def has_room(self, now_ms: float) -> bool:
        """Return False while a limit is known to be used up."""
        return not self.room_wait_ms(now_ms)

    def room_wait_ms(self, now_ms: float) -> float:
        """Return the time until a limit that is used up has room again."""
        until_ms = max(self.limited_until_ms, self.cold_until_ms)
        return max(0.0, until_ms - now_ms)

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Record the round trip time that a ping has measured."""
        if not self.has_measured_round_trip:
            self.has_measured_round_trip = True
            self.round_trip_ms = round_trip_ms
            return
        change_ms = round_trip_ms - self.round_trip_ms
        self.round_trip_ms += ROUND_TRIP_EWMA_WEIGHT * change_ms

    def on_sent(self, token: int, now_ms: float) -> None:
        """Record the sending of an attempt."""
        self.outstanding[token] = now_ms
        self.sent_since_sample += 1

    def on_result(
        self, token: int, result: verdict.Verdict, now_ms: float
    ) -> bool:
        """Record the end of an attempt.

        Returns
        -------
        bool
            True if the result ejects the upstream.
        """
        self.outstanding.pop(token, None)
        if result.reason in _HEALTH_NEUTRAL_REASONS:
            return False
        if not verdict.is_failure(result):
            self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
            self.consecutive_failures = 0
            if now_ms >= self.ejected_until_ms:
                self.ejections = 0
            return False
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)
        self.consecutive_failures += 1
        return self._eject_if_failing(now_ms)

    def is_ejected(self, now_ms: float) -> bool:
        """Return True until the latest ejection ends."""
        return now_ms < self.ejected_until_ms

    def oldest_outstanding_ms(self, now_ms: float) -> float:
        """Return the age of this node's oldest attempt in progress."""
        if not self.outstanding:
            return 0.0
        return now_ms - next(iter(self.outstanding.values()))

    def _eject_if_failing(self, now_ms: float) -> bool:
        if self.is_ejected(now_ms):
            return False
        if (
            self.consecutive_failures < EJECT_CONSECUTIVE_FAILURES
            and self.failure_rate < EJECT_FAILURE_RATE
        ):
            return False
        duration_ms = min(EJECT_BASE_MS * 2**self.ejections, EJECT_MAX_MS)
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Location of this node, for initial estimates of round trip times."""

    node_id: str
    failure_domain: str
    region: str


SAME_DOMAIN_ROUND_TRIP_MS = 0.5
SAME_REGION_ROUND_TRIP_MS = 6.0
OTHER_REGION_ROUND_TRIP_MS = 40.0


class RoutingTable:
    """The upstreams of each service, as the membership lists them.

    Loads and failures are kept only for services that this node calls.
    For all other services the table holds just the membership records.

    Parameters
    ----------
    locality : Locality
        Location of this node.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._members: dict[str, dict[str, upstreams.Member]] = {}
        self._service_of: dict[str, str] = {}
        self._states: dict[str, UpstreamState] = {}
        self._subsets: dict[
            str, dict[requests.AllowedRegions, tuple[UpstreamState, ...]]
        ] = {}
        # Regions with members, by service; filled at first use.
        self._regions: dict[str, frozenset[str]] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self._evacuated_domains: frozenset[str] = frozenset()
        self.notices = notices.NoticeBook()

    def update(self, member: upstreams.Member) -> None:
        """Apply a changed membership record."""
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
        service_members = self._members.setdefault(member.service, {})
        known = service_members.get(member.node_id)
        if known is None or known.region != member.region:
            self._subsets.pop(member.service, None)
            self._regions.pop(member.service, None)
        service_members[member.node_id] = member
        self._service_of[member.node_id] = member.service

    def remove(self, node_id: str) -> None:
        """Remove a member."""
        self._states.pop(node_id, None)
        service = self._service_of.pop(node_id, None)
        if service is None:
            return
        self._subsets.pop(service, None)
        self._regions.pop(service, None)
        del self._members[service][node_id]
        if not self._members[service]:
            del self._members[service]

    def state(self, node_id: str) -> UpstreamState | None:
        """Return the state of an upstream that this node uses, or None."""
        return self._states.get(node_id)

    def members_of(
        self, service: str
    ) -> typing.Mapping[str, upstreams.Member]:
        """Return the membership records of all upstreams of a service."""
        return self._members.get(service, {})

    def get_or_create_state(self, node_id: str) -> UpstreamState:
        """Return the state of a known upstream; create it at first use."""
        state = self._states.get(node_id)
        if state is None:
            member = self._members[self._service_of[node_id]][node_id]
            state = UpstreamState(
                member,
                self._initial_round_trip_ms(member),
                member.failure_domain == self._locality.failure_domain,
                self._is_local(member),
            )
            self._states[node_id] = state
        return state

    def subset_of(
        self,
        service: str,
        subset_size: int,
        allowed: requests.AllowedRegions = None,
    ) -> tuple[UpstreamState, ...]:
        """Return this node's subset of the upstreams of a service.

        Requests that not all regions may serve have subsets of their own, of
        the same size: the usual one may contain no upstream of their regions.
        The order of the upstreams of a region is the same for all subsets,
        so a node uses at most `subset_size` upstreams in each region.
        """
        subsets = self._subsets.setdefault(service, {})
        states = subsets.get(allowed)
        if states is None:
            chosen = self._choose_subset(service, subset_size, allowed)
            states = tuple(map(self.get_or_create_state, chosen))
            if len(subsets) >= MAX_SUBSETS:
                subsets.clear()
            subsets[allowed] = states
        return states

    def scope(
        self, service: str, allowed: requests.AllowedRegions
    ) -> allowed_regions.Scope:
        """Return where a request is served, or that no region may serve it.

        Members that are not ready or are evacuated count as upstreams.
        """
        regions = self._regions.get(service)
        if regions is None:
            members = self.members_of(service).values()
            regions = frozenset(member.region for member in members)
            self._regions[service] = regions
        return allowed_regions.scope(allowed, self._locality.region, regions)

    def _choose_subset(
        self,
        service: str,
        subset_size: int,
        allowed: requests.AllowedRegions,
    ) -> list[str]:
        node_id = self._locality.node_id
        members = self._available_members(service)
        if allowed is not None:
            members = {
                found: member
                for found, member in members.items()
                if member.region in allowed
            }
        local = [
            member.node_id
            for member in members.values()
            if self._is_local(member)
        ]
        if len(local) == len(members):
            return subset.choose(node_id, members, subset_size)
        remote = members.keys() - set(local)
        return subset.choose_by_region(node_id, local, remote, subset_size)

    def _available_members(
        self, service: str
    ) -> typing.Mapping[str, upstreams.Member]:
        """Return the members of a service outside evacuated domains."""
        members = self._members.get(service, {})
        if not self._evacuated_domains:
            return members
        return {
            node_id: member
            for node_id, member in members.items()
            if member.failure_domain not in self._evacuated_domains
        }

    def set_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Leave the upstreams of these domains out of all subsets."""
        self._evacuated_domains = domains
        self._subsets.clear()

    def invalidate(self, service: str) -> None:
        """Drop the subset of a service whose definition has changed."""
        self._subsets.pop(service, None)

    def _initial_round_trip_ms(self, member: upstreams.Member) -> float:
        if member.failure_domain == self._locality.failure_domain:
            return SAME_DOMAIN_ROUND_TRIP_MS
        if self._is_local(member):
            return SAME_REGION_ROUND_TRIP_MS
        return OTHER_REGION_ROUND_TRIP_MS

    def _is_local(self, member: upstreams.Member) -> bool:
        return member.region == self._locality.region
