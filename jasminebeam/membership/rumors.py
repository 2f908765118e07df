"""Recent changes that a node still has to spread."""

from __future__ import annotations

import heapq
import math
import typing

Item = typing.TypeVar('Item')


class RumorQueue(typing.Generic[Item]):
    """Holds changes and how often each has been sent.

    Parameters
    ----------
    max_rumors : int
        Changes kept; beyond it those sent most often are dropped, and
        digests repair the loss.

    Examples
    --------
    >>> queue = RumorQueue(max_rumors=10)
    >>> queue.add('a', 'news', size_bytes=4)
    >>> queue.take(budget_bytes=100, limit=1)
    ['news']
    >>> queue.take(budget_bytes=100, limit=1)
    []
    """

    def __init__(self, max_rumors: int) -> None:
        self._max_rumors = max_rumors
        self._items: dict[str, tuple[Item, int]] = {}
        self._sent: dict[str, int] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, name: str, item: Item, size_bytes: int) -> None:
        """Spread a change; it replaces an earlier one of the same name."""
        self._items[name] = (item, size_bytes)
        self._sent[name] = 0
        if len(self._items) > self._max_rumors:
            self.discard(max(self._sent, key=self._sent.__getitem__))
            self.dropped += 1

    def discard(self, name: str) -> None:
        """Stop spreading a change."""
        self._items.pop(name, None)
        self._sent.pop(name, None)

    def take(self, budget_bytes: float, limit: int) -> list[Item]:
        """Return the changes for one message, least sent ones first.

        Parameters
        ----------
        budget_bytes : float
            Most bytes that the changes may take.
        limit : int
            Number of messages that carry each change.
        """
        least_sent = heapq.nsmallest(
            _MAX_ITEMS, self._sent, key=self._sent.__getitem__
        )
        taken = []
        for name in least_sent:
            item, size_bytes = self._items[name]
            if size_bytes > budget_bytes:
                continue
            budget_bytes -= size_bytes
            taken.append(item)
            self._count(name, limit)
        return taken

    def _count(self, name: str, limit: int) -> None:
        self._sent[name] += 1
        if self._sent[name] >= limit:
            self.discard(name)


_MAX_ITEMS = 32


def transmissions(member_count: int) -> int:
    """Return how often a change is sent so that it reaches all members.

    Examples
    --------
    >>> transmissions(14), transmissions(23_000)
    (6, 15)
    """
    return 3 * math.ceil(math.log10(member_count + 2))
