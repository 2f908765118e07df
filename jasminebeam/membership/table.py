"""Table of the members that a node knows."""

from __future__ import annotations

import bisect
import collections
import typing

from jasminebeam import hashing
from jasminebeam.model import upstreams

# Digests form a tree of two levels: members are hashed into buckets, and
# buckets are combined into groups.
GROUPS = 32
BUCKETS_PER_GROUP = 32
BUCKETS = GROUPS * BUCKETS_PER_GROUP

_ACTIVE = (upstreams.Status.ALIVE, upstreams.Status.SUSPECT)


def supersedes(new: upstreams.Member, stored: upstreams.Member) -> bool:
    """Return True if a record replaces the stored one.

    The later incarnation wins, then the later version, then the worse
    status. A member therefore refutes a suspicion by publishing a later
    version.
    """
    return _precedence(new) > _precedence(stored)


def _precedence(member: upstreams.Member) -> tuple[int, int, int]:
    return (member.incarnation, member.version, member.status)


class Ring:
    """Members in the order of their hashes.

    Nodes use rings to assign monitors and to choose random gossip partners.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, str]] = []

    def add(self, node_id: str) -> None:
        """Insert a member that is not yet in the ring."""
        bisect.insort(self._entries, _ring_entry(node_id))

    def discard(self, node_id: str) -> None:
        """Remove a member if it is in the ring."""
        entry = _ring_entry(node_id)
        index = bisect.bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            del self._entries[index]

    def successors(self, node_id: str, count: int) -> list[str]:
        """Return up to ``count`` other members that follow the member."""
        entry = _ring_entry(node_id)
        start = bisect.bisect_right(self._entries, entry)
        found = []
        for offset in range(len(self._entries)):
            if len(found) == count:
                break
            index = (start + offset) % len(self._entries)
            candidate = self._entries[index][1]
            if candidate != node_id:
                found.append(candidate)
        return found

    def index(self, node_id: str) -> int:
        """Return the position of a member, or its insertion point."""
        return bisect.bisect_left(self._entries, _ring_entry(node_id))

    def at(self, index: int) -> str:
        """Return the member at a position."""
        return self._entries[index][1]

    def __len__(self) -> int:
        return len(self._entries)


def _ring_entry(node_id: str) -> tuple[int, str]:
    return hashing.hash64(node_id), node_id


class MemberTable:
    """Member records with digests, hash rings and counts by status.

    Suspected members stay in the rings, so that a short suspicion does not
    change which node monitors which member.
    """

    def __init__(self) -> None:
        self._members: dict[str, upstreams.Member] = {}
        self._group_digests = [0] * GROUPS
        self._bucket_digests = [0] * BUCKETS
        self._digest = 0
        self._suspects: dict[str, float] = {}
        self._inactive: dict[str, float] = {}
        self._counts: collections.Counter[upstreams.Status] = (
            collections.Counter()
        )
        self.domain_rings: dict[str, Ring] = collections.defaultdict(Ring)
        self.ring = Ring()
        self.region_rings: dict[str, Ring] = collections.defaultdict(Ring)

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> typing.Iterator[upstreams.Member]:
        return iter(self._members.values())

    def get(self, node_id: str) -> upstreams.Member | None:
        """Return the record of a member; None if it is unknown."""
        return self._members.get(node_id)

    def merge(self, member: upstreams.Member, now_ms: float) -> bool:
        """Store a record if it supersedes the stored one; True if it does."""
        stored = self._members.get(member.node_id)
        if stored is None:
            # The member may have been purged. A late record of its death or
            # departure must not restore the member.
            if member.status not in _ACTIVE:
                return False
        elif not supersedes(member, stored):
            return False
        self._replace(stored, member, now_ms)
        return True

    def suspects(self) -> dict[str, float]:
        """Map each suspected member to the start of its suspicion in ms."""
        return self._suspects

    def inactive(self) -> dict[str, float]:
        """Map each dead or departed member to the time of the change in ms."""
        return self._inactive

    def purge(self, node_id: str) -> None:
        """Remove the record of a member that is dead or has left."""
        member = self._members.pop(node_id)
        self._counts[member.status] -= 1
        self._inactive.pop(node_id, None)
        self._suspects.pop(node_id, None)
        if member.status in _ACTIVE:
            self._unindex(member)

    def count_by_status(self) -> dict[upstreams.Status, int]:
        """Return the number of members of each status."""
        return {status: self._counts[status] for status in upstreams.Status}

    def active_in(self, failure_domain: str) -> int:
        """Return the number of alive and suspected members of a domain."""
        ring = self.domain_rings.get(failure_domain)
        return len(ring) if ring is not None else 0

    @property
    def digest(self) -> int:
        """64-bit digest of the alive and suspected members."""
        return self._digest

    @property
    def group_digests(self) -> tuple[int, ...]:
        """Digest of each group of buckets."""
        return tuple(self._group_digests)

    def bucket_digests(self, group: int) -> tuple[int, ...]:
        """Return the digest of each bucket of a group."""
        start = group * BUCKETS_PER_GROUP
        return tuple(self._bucket_digests[start : start + BUCKETS_PER_GROUP])

    def differing_groups(self, groups: typing.Sequence[int]) -> list[int]:
        """Return the indexes of the groups whose digests differ."""
        return [
            index
            for index, (own, other) in enumerate(
                zip(self._group_digests, groups, strict=False)
            )
            if own != other
        ]

    def differing_buckets(
        self, group: int, digests: typing.Sequence[int]
    ) -> list[int]:
        """Return the indexes of the buckets of a group that differ."""
        start = group * BUCKETS_PER_GROUP
        return [
            start + index
            for index, (own, other) in enumerate(
                zip(self.bucket_digests(group), digests, strict=False)
            )
            if own != other
        ]

    def members_in_buckets(
        self, buckets: typing.Collection[int]
    ) -> list[upstreams.Member]:
        """Return the alive and suspected members in the given buckets."""
        wanted = frozenset(buckets)
        return [
            member
            for member in self._members.values()
            if _bucket(member.node_id) in wanted and member.status in _ACTIVE
        ]

    def _replace(
        self,
        stored: upstreams.Member | None,
        member: upstreams.Member,
        now_ms: float,
    ) -> None:
        if stored is not None and stored.status in _ACTIVE:
            self._unindex(stored)
        if stored is not None:
            self._counts[stored.status] -= 1
        self._counts[member.status] += 1
        self._members[member.node_id] = member
        self._suspects.pop(member.node_id, None)
        self._inactive.pop(member.node_id, None)
        if member.status in _ACTIVE:
            self._index(member)
        else:
            self._inactive[member.node_id] = now_ms
        if member.status is upstreams.Status.SUSPECT:
            self._suspects[member.node_id] = now_ms

    def _index(self, member: upstreams.Member) -> None:
        self._toggle_digest(member)
        for ring in self._rings_of(member):
            ring.add(member.node_id)

    def _unindex(self, member: upstreams.Member) -> None:
        self._toggle_digest(member)
        for ring in self._rings_of(member):
            ring.discard(member.node_id)

    def _toggle_digest(self, member: upstreams.Member) -> None:
        digest = _digest(member)
        bucket = _bucket(member.node_id)
        self._bucket_digests[bucket] ^= digest
        self._group_digests[bucket // BUCKETS_PER_GROUP] ^= digest
        self._digest ^= digest

    def _rings_of(self, member: upstreams.Member) -> tuple[Ring, ...]:
        return (
            self.ring,
            self.domain_rings[member.failure_domain],
            self.region_rings[member.region],
        )


def _bucket(node_id: str) -> int:
    return hashing.hash64(node_id) % BUCKETS


def _digest(member: upstreams.Member) -> int:
    return hashing.hash64(
        member.node_id, str(member.incarnation), str(member.version)
    )
