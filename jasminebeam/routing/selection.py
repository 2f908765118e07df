"""Selects upstreams: filters them, then applies a policy."""

from __future__ import annotations

import dataclasses
import typing

from jasminebeam.model import upstreams
from jasminebeam.routing import allowed_regions
from jasminebeam.routing import policies
from jasminebeam.routing import subset
from jasminebeam import verdict

if typing.TYPE_CHECKING:
    from collections import abc

    from jasminebeam.model import requests
    from jasminebeam.model import services
    from jasminebeam.routing import evacuation
    from jasminebeam.routing import table


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream, or the reason why there is none."""

    state: table.UpstreamState | None
    reason: verdict.Reason = verdict.Reason.NONE


class Selector:
    """Chooses an upstream for each attempt.

    Parameters
    ----------
    routes : RoutingTable
        The known upstreams.
    policies_by_name : mapping of str to Policy
        Policies by their names; they choose among the eligible upstreams.
    evacuated : EvacuationFilter or None
        Leaves out upstreams of evacuated failure domains.
    """

    def __init__(
        self,
        routes: table.RoutingTable,
        policies_by_name: typing.Mapping[str, policies.Policy],
        evacuated: evacuation.EvacuationFilter | None = None,
    ) -> None:
        self._evacuated = evacuated
        self._routes = routes
        self._policies = policies_by_name

    def choose(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        wall_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> Choice:
        """Return the upstream for the next attempt.

        Parameters
        ----------
        service : Service
            Service of the request.
        tried : collection of str
            Node ids of earlier attempts of this request; they are excluded.
        now_ms, wall_ms : float
            Monotonic and wall-clock time.
        allowed : frozenset of str or None
            Regions that may serve the request; None for all.
        """
        untried = self._candidates(service, tried, now_ms, allowed)
        if not untried:
            return Choice(None, self._reason_for_none(service, allowed))
        policy = self._policies[service.policy]
        with_room = [state for state in untried if state.has_room(now_ms)]
        return Choice(policy.choose(with_room or untried, now_ms, wall_ms))

    def choose_for_hedge(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        wall_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> Choice:
        """Return the upstream for a hedge.

        Upstreams that name a rate limit or are cold are left to requests
        that need them. Upstreams of other regions are used if the own region
        has no other one. The parameters are those of `choose`.
        """
        unlimited = [
            state
            for state in self._candidates(service, tried, now_ms, allowed)
            if not state.is_limited
        ]
        unlimited = [
            state for state in unlimited if state.same_region
        ] or unlimited
        if not unlimited:
            return Choice(None, verdict.Reason.NO_UPSTREAM)
        policy = self._policies[service.policy]
        return Choice(policy.choose(unlimited, now_ms, wall_ms))

    def has_room(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> bool:
        """Return True if no limit of an untried upstream is used up.

        The parameters are those of `choose`.
        """
        untried = self._candidates(service, tried, now_ms, allowed)
        return any(state.has_room(now_ms) for state in untried)

    def room_wait_ms(
        self,
        service: services.Service,
        now_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> float:
        """Return the time until the limit of an upstream has room again.

        It is 0 if an upstream has room, or if there is none.
        """
        return min(
            (
                state.room_wait_ms(now_ms)
                for state in self._candidates(service, (), now_ms, allowed)
            ),
            default=0.0,
        )

    def rank(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        wall_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> list[table.UpstreamState]:
        """Return the upstreams for the next attempt, cheapest first.

        Those whose limit is known to be used up come last.

        The list is empty if the policy of the service does not compare
        costs. The parameters are those of `choose`.
        """
        policy = self._policies[service.policy]
        if not isinstance(policy, policies.LeastCost):
            return []
        candidates = self._candidates(service, tried, now_ms, allowed)
        with_room = [state for state in candidates if state.has_room(now_ms)]
        ranked = policy.rank(with_room, now_ms, wall_ms)
        if len(with_room) < len(candidates):
            limited = [s for s in candidates if not s.has_room(now_ms)]
            ranked += policy.rank(limited, now_ms, wall_ms)
        return ranked

    def rank_with_returning(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        wall_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> tuple[list[table.UpstreamState], list[table.UpstreamState]]:
        """Return the upstreams for the next attempt, and a last resort.

        Load pattern: the other domains are overloaded while a domain returns
        step by step. A request that all of them refuse may use the upstreams
        that `rank` has left out for this step. The parameters are those of
        `choose`.
        """
        ranked = self.rank(service, tried, now_ms, wall_ms, allowed)
        if (
            self._evacuated is None
            or not self._evacuated.is_returning
            or not ranked
        ):
            return ranked, []
        excluded = {*tried, *(state.member.node_id for state in ranked)}
        ready = self._evacuated.outside(self._ready(service, allowed))
        left_out = self._eligible(service, ready, excluded, now_ms)
        policy = self._policies[service.policy]
        return ranked, policy.rank(left_out, now_ms, wall_ms)

    def _candidates(
        self,
        service: services.Service,
        tried: abc.Collection[str],
        now_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> list[table.UpstreamState]:
        ready = self._ready(service, allowed)
        if self._evacuated is not None:
            ready = self._evacuated.admitted(ready, now_ms)
        return self._eligible(service, ready, tried, now_ms)

    def _ready(
        self, service: services.Service, allowed: requests.AllowedRegions
    ) -> list[table.UpstreamState]:
        members = self._routes.subset_of(
            service.name, service.subset_size, allowed
        )
        return [state for state in members if _is_ready(state)]

    def _eligible(
        self,
        service: services.Service,
        ready: list[table.UpstreamState],
        tried: abc.Collection[str],
        now_ms: float,
        allowed: requests.AllowedRegions = None,
    ) -> list[table.UpstreamState]:
        candidates = eligible(ready, service.max_ejected_ratio, now_ms)
        untried = [
            state for state in candidates if state.member.node_id not in tried
        ]
        return self._outside_unreachable_domains(untried)

    def scope(
        self, service: services.Service, allowed: requests.AllowedRegions
    ) -> allowed_regions.Scope:
        """Return where a request is served, or that no region may serve it."""
        return self._routes.scope(service.name, allowed)

    def _reason_for_none(
        self, service: services.Service, allowed: requests.AllowedRegions
    ) -> verdict.Reason:
        members = self._allowed_members(service, allowed).values()
        if any(self._is_evacuated(member) for member in members):
            return verdict.Reason.EVACUATED
        if allowed is not None and not members:
            return verdict.Reason.NO_ALLOWED_REGION
        return verdict.Reason.NO_UPSTREAM

    def _allowed_members(
        self, service: services.Service, allowed: requests.AllowedRegions
    ) -> typing.Mapping[str, upstreams.Member]:
        members = self._routes.members_of(service.name)
        if allowed is None:
            return members
        return {
            node_id: member
            for node_id, member in members.items()
            if allowed_regions.permits(allowed, member.region)
        }

    def _is_evacuated(self, member: upstreams.Member) -> bool:
        return self._evacuated is not None and self._evacuated.is_evacuated(
            member.failure_domain
        )

    def _outside_unreachable_domains(
        self, states: list[table.UpstreamState]
    ) -> list[table.UpstreamState]:
        unreachable = self._routes.unreachable_domains
        if not unreachable:
            return states
        outside = [
            state
            for state in states
            if state.member.failure_domain not in unreachable
        ]
        return outside or states

    def choose_owner(
        self,
        service: services.Service,
        key: str,
        allowed: requests.AllowedRegions = None,
    ) -> Choice:
        """Return the upstream that owns an idempotency key.

        All known members of the allowed regions are considered, including
        those that are not ready. A retry with the same key therefore never
        moves to another upstream while its owner is briefly unavailable, or
        while its failure domain is evacuated.
        """
        members = self._allowed_members(service, allowed)
        node_id = subset.owner(key, members)
        if node_id is None:
            return Choice(None, self._reason_for_none(service, allowed))
        state = self._routes.get_or_create_state(node_id)
        if self._is_evacuated(state.member):
            return Choice(None, verdict.Reason.EVACUATED)
        if not _is_ready(state):
            return Choice(None, verdict.Reason.KEY_OWNER_UNAVAILABLE)
        return Choice(state)


def eligible(
    ready: list[table.UpstreamState],
    max_ejected_ratio: float,
    now_ms: float,
) -> list[table.UpstreamState]:
    """Return the upstreams that are not excluded by an ejection.

    If more upstreams are ejected than the ratio allows, those whose
    ejection ends first stay eligible.
    """
    ejected = [state for state in ready if state.is_ejected(now_ms)]
    if not ejected:
        return ready
    allowed = int(len(ready) * max_ejected_ratio)
    ejected.sort(key=lambda state: state.ejected_until_ms, reverse=True)
    excluded = {state.member.node_id for state in ejected[:allowed]}
    return [state for state in ready if state.member.node_id not in excluded]


def _is_ready(state: table.UpstreamState) -> bool:
    member = state.member
    if member.status is not upstreams.Status.ALIVE:
        return False
    if member.phase is not upstreams.Phase.READY:
        return False
    sample = state.sample
    return sample is None or sample.phase is upstreams.Phase.READY
