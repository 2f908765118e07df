"""Queue of recent changes that a node still has to spread."""

from __future__ import annotations

import heapq
import math
import typing

Item = typing.TypeVar('Item')


class RumorQueue(typing.Generic[Item]):
    """Holds changes and the number of times that each has been sent.

    Parameters
    ----------
    max_rumors : int
        Capacity. A full queue drops the change that has been sent most
        often; the comparison of digests repairs the loss.

    Examples
    --------
    >>> queue = RumorQueue(max_rumors=10)
    >>> queue.add('a', 'change', size_bytes=6)
    >>> queue.take(budget_bytes=100, max_sends=1)
    ['change']
    >>> queue.take(budget_bytes=100, max_sends=1)
    []
    """

    def __init__(self, max_rumors: int) -> None:
        self._max_rumors = max_rumors
        self._items: dict[str, tuple[Item, int]] = {}
        self._send_counts: dict[str, int] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, name: str, item: Item, size_bytes: int) -> None:
        """Enqueue a change; it replaces an earlier one of the same name."""
        self._items[name] = (item, size_bytes)
        self._send_counts[name] = 0
        if len(self._items) > self._max_rumors:
            self.discard(
                max(self._send_counts, key=self._send_counts.__getitem__)
            )
            self.dropped += 1

    def discard(self, name: str) -> None:
        """Remove a change from the queue."""
        self._items.pop(name, None)
        self._send_counts.pop(name, None)

    def take(self, budget_bytes: float, max_sends: int) -> list[Item]:
        """Return the changes for one message, least often sent first.

        Parameters
        ----------
        budget_bytes : float
            Maximum total size of the changes.
        max_sends : int
            Number of messages after which a change leaves the queue.
        """
        least_sent = heapq.nsmallest(
            _MAX_ITEMS_PER_MESSAGE,
            self._send_counts,
            key=self._send_counts.__getitem__,
        )
        taken = []
        for name in least_sent:
            item, size_bytes = self._items[name]
            if size_bytes > budget_bytes:
                continue
            budget_bytes -= size_bytes
            taken.append(item)
            self._record_send(name, max_sends)
        return taken

    def _record_send(self, name: str, max_sends: int) -> None:
        self._send_counts[name] += 1
        if self._send_counts[name] >= max_sends:
            self.discard(name)


_MAX_ITEMS_PER_MESSAGE = 32


def transmit_limit(member_count: int) -> int:
    """Return how often to send a change so that it reaches all members.

    Examples
    --------
    >>> transmit_limit(14), transmit_limit(23_000)
    (6, 15)
    """
    return 3 * math.ceil(math.log10(member_count + 2))
