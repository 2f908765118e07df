"""Leaves upstreams of evacuated failure domains out of the selection."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table

# Successive multiples of this number modulo 1 are spread evenly, so a share of
# the requests needs no source of random numbers.
GOLDEN_RATIO = 0.618_033_988_749_894_9


class Shares(typing.Protocol):
    """Shares of their normal load that failure domains may get."""

    @property
    def domains(self) -> frozenset[str]:
        """Failure domains that are evacuated."""

    @property
    def is_returning(self) -> bool:
        """True if a domain may not have its normal share of load yet."""

    def share(self, domain: str, now_ms: float) -> float:
        """Return the share of its normal load that a domain may get."""


class EvacuationFilter:
    """Filters the upstreams of each request by the evacuated domains.

    Load pattern: after an evacuation is withdrawn, the upstreams of the
    domain are idle and may be cold. They look cheapest to every node, so the
    load of the others would move there at once.

    Parameters
    ----------
    shares : Shares
        Evacuated domains, and those that return.
    """

    def __init__(self, shares: Shares) -> None:
        self._shares = shares
        self._position = 0.0

    def is_evacuated(self, domain: str) -> bool:
        """Return True for a failure domain that gets no requests."""
        return domain in self._shares.domains

    @property
    def is_returning(self) -> bool:
        """True if a domain may not have its normal share of load yet."""
        return self._shares.is_returning

    def outside(
        self, states: typing.Iterable[table.UpstreamState]
    ) -> list[table.UpstreamState]:
        """Return the upstreams that are in no evacuated domain."""
        evacuated = self._shares.domains
        return [
            state
            for state in states
            if state.member.failure_domain not in evacuated
        ]

    def admitted(
        self, states: list[table.UpstreamState], now_ms: float
    ) -> list[table.UpstreamState]:
        """Return the upstreams that one request may go to.

        A returning domain is offered to at most its share of the requests,
        unless there are no other upstreams.
        """
        if self._shares.domains:
            states = self.outside(states)
        if not self.is_returning:
            return states
        counts = collections.Counter(
            state.member.failure_domain for state in states
        )
        excluded = self._excluded(counts, now_ms)
        if not excluded:
            return states
        kept = [
            state
            for state in states
            if state.member.failure_domain not in excluded
        ]
        return kept or states

    def _excluded(
        self, counts: typing.Mapping[str, int], now_ms: float
    ) -> set[str]:
        """Return the returning domains that the next request may not use.

        Idle upstreams attract each request that they are offered to, so a
        domain is offered to the share of requests that it may get.
        """
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        total = sum(counts.values())
        excluded = set()
        start = 0.0
        for domain in sorted(counts):
            share = self._shares.share(domain, now_ms)
            if share >= 1.0:
                continue
            end = start + share * counts[domain] / total
            if not start <= self._position < end:
                excluded.add(domain)
            start = end
        return excluded
