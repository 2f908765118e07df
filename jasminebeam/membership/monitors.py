"""Decides which members a node monitors by heartbeats."""

from __future__ import annotations

import math
import typing

from jasminebeam.membership import region_paths

if typing.TYPE_CHECKING:
    from jasminebeam.membership import table
    from jasminebeam.model import upstreams

# Number of members that a node monitors in its own failure domain, and
# maximum number that it monitors in another one.
LOCAL_TARGETS = 2
MAX_REMOTE_TARGETS = 4

# Members of a failure domain that another region monitors: at least these
# many, or this share. It is twice the share of suspected members from which
# a domain counts as unreachable (membership/domains.py).
MIN_DISTANT_TARGETS = 4
DISTANT_TARGET_RATIO = 0.3


def targets(
    members: table.MemberTable, local_member: upstreams.Member
) -> list[str]:
    """Return the members that a node monitors.

    Each node monitors its successors in the ring of its failure domain.
    These heartbeats detect failed hosts. Each node also monitors the members
    at the corresponding positions of the next failure domain's ring. These
    heartbeats detect a failed domain or link. Each member is thus monitored
    from the preceding domain, unless the member's own domain has more than
    `MAX_REMOTE_TARGETS` times as many members as the preceding one.

    In a fleet of several regions, the next domain is one of the same region.
    Of the next region, a part of each domain is monitored, which is enough to
    notice that the domain is unreachable from there.

    Parameters
    ----------
    members : MemberTable
        Known members.
    local_member : Member
        Record of the node.
    """
    domain = local_member.failure_domain
    ring = members.domain_rings[domain]
    found = ring.successors(local_member.node_id, LOCAL_TARGETS)
    position = ring.index(local_member.node_id)
    step = max(1, len(ring))
    if not region_paths.spans_regions(members):
        domains = sorted(
            name for name, other in members.domain_rings.items() if len(other)
        )
        return found + _next_domain(members, domain, domains, position, step)
    regions = _domains_by_region(members)
    own = regions[local_member.region]
    found += _next_domain(members, domain, own, position, step)
    names = sorted(regions)
    index = names.index(local_member.region)
    for number, name in enumerate(regions[names[(index + 1) % len(names)]]):
        if own[number % len(own)] == domain:
            found += _distant(members.domain_rings[name], position, step)
    return found


def _next_domain(
    members: table.MemberTable,
    domain: str,
    domains: list[str],
    position: int,
    step: int,
) -> list[str]:
    if len(domains) < 2:
        return []
    index = domains.index(domain)
    ring = members.domain_rings[domains[(index + 1) % len(domains)]]
    return _counterparts(ring, len(ring), position, step)


def _distant(ring: table.Ring, position: int, step: int) -> list[str]:
    share = math.ceil(DISTANT_TARGET_RATIO * len(ring))
    count = min(len(ring), max(MIN_DISTANT_TARGETS, share))
    return _counterparts(ring, count, position, step)


def _counterparts(
    ring: table.Ring, count: int, position: int, step: int
) -> list[str]:
    positions = range(position, count, step)
    return list(map(ring.at, positions[:MAX_REMOTE_TARGETS]))


def _domains_by_region(members: table.MemberTable) -> dict[str, list[str]]:
    """Return the failure domains of each region in order of their names."""
    found: dict[str, list[str]] = {}
    for domain, ring in sorted(members.domain_rings.items()):
        if len(ring):
            region = members.get(ring.at(0)).region
            found.setdefault(region, []).append(domain)
    return found
