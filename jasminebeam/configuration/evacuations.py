"""Evacuated failure domains as this node knows them."""

from __future__ import annotations

import typing

from jasminebeam.model import evacuations

# Share of its normal load that a domain gets after its withdrawal, and the
# duration of each step. The upstreams may be cold, and load that returns at
# once would oscillate between the domains.
RETURN_SHARES = (0.25, 0.5, 0.75)
STEP_MS = 1_350.0


class EvacuationDirectory:
    """Keeps the newest set of evacuated failure domains.

    Load pattern: the whole load of one or several failure domains moves to
    the others, and returns at one moment. A new set replaces the previous
    one as a whole, so messages may be lost, late or repeated.
    """

    def __init__(self) -> None:
        self.current = evacuations.NO_EVACUATIONS
        # Revision at which the store was last read as a whole.
        self._listed_revision = 0
        self._returned_ms: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Revision of the set in force; 0 if none was ever known."""
        return self.current.revision

    @property
    def domains(self) -> frozenset[str]:
        """Failure domains that are evacuated."""
        return frozenset(self.current.domains)

    @property
    def is_returning(self) -> bool:
        """True if a domain may not have its normal share of load yet."""
        return bool(self._returned_ms)

    def apply(self, new: evacuations.Evacuations, now_ms: float) -> bool:
        """Put a set in force if it is newer than all that is known.

        A set that contradicts a newer read of the store raises the revision
        of the set in force, so that this one supersedes the other at all
        nodes.

        Returns
        -------
        bool
            True if the set in force, or its revision, has changed.
        """
        if new.revision <= self.revision:
            return False
        if (
            new.revision <= self._listed_revision
            and new.domains != self.current.domains
        ):
            new = evacuations.Evacuations(
                self._listed_revision, self.current.domains
            )
        self._replace(new, now_ms)
        return True

    def apply_listing(
        self, listed: evacuations.Evacuations, now_ms: float
    ) -> bool:
        """Record the complete set in the store at a revision.

        A listing without a change keeps the revision: without evacuations
        it stays 0, and nodes send nothing about them.

        Returns
        -------
        bool
            True if the set in force has changed.
        """
        if listed.revision <= max(self.revision, self._listed_revision):
            return False
        self._listed_revision = listed.revision
        if listed.domains == self.current.domains:
            return False
        self._replace(listed, now_ms)
        return True

    def share(self, domain: str, now_ms: float) -> float:
        """Return the share of its normal load that a domain may get.

        Examples
        --------
        >>> directory = EvacuationDirectory()
        >>> directory.apply(evacuations.Evacuations(7, ('a',)), 0.0)
        True
        >>> directory.share('a', 0.0), directory.share('b', 0.0)
        (0.0, 1.0)
        >>> directory.apply(evacuations.Evacuations(8, ()), 1_000.0)
        True
        >>> [directory.share('a', at_ms) for at_ms in (1e3, 2.5e3, 6e3)]
        [0.25, 0.5, 1.0]
        """
        if domain in self.current.domains:
            return 0.0
        returned_ms = self._returned_ms.get(domain)
        if returned_ms is None:
            return 1.0
        step = int((now_ms - returned_ms) / STEP_MS)
        if step < len(RETURN_SHARES):
            return RETURN_SHARES[step]
        del self._returned_ms[domain]
        return 1.0

    def _replace(self, new: evacuations.Evacuations, now_ms: float) -> None:
        for domain in self.domains.difference(new.domains):
            self._returned_ms[domain] = now_ms
        for domain in new.domains:
            self._returned_ms.pop(domain, None)
        self.current = new


class Adopt(typing.Protocol):
    """Receiver of what the store holds."""

    def __call__(self, found: evacuations.Evacuations, listed: bool) -> None:
        """Adopt a set; ``listed`` is True for a read of the whole set."""
