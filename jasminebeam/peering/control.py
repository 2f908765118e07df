"""Connections for control messages, bounded in number and byte rate."""

from __future__ import annotations

import collections
import math
import typing

from jasminebeam.peering import evacuation_messages
from jasminebeam.peering import links
from jasminebeam.peering import messages
from jasminebeam.peering import token_messages
from jasminebeam.retries import budget

if typing.TYPE_CHECKING:
    from jasminebeam.telemetry import metrics

MAX_LINKS = 32
MAX_UNANSWERED = 2
# Time within which a message to the same peer is not counted again.
MIN_ANSWER_MS = 500.0

# Bulk transfers carry complete tables and route sets. They have a separate
# budget and do not count against the budget of the other control messages.
# Evacuations precede a route set, so they share its budget: a node must not
# get routes without them.
BULK_BYTES_PER_S = 1_000_000.0
# Types whose receiver answers at once.
_ANSWERED_TYPES = (
    messages.Heartbeat,
    messages.WatchReport,
    token_messages.TokenRequest,
    token_messages.TokenCollection,
)
_BULK_TYPES = (
    messages.Sync,
    messages.SyncDetail,
    messages.SyncPull,
    messages.RoutesReply,
    evacuation_messages.EvacuationsUpdate,
)


class ControlLinks:
    """Sends control messages over a bounded number of connections.

    Parameters
    ----------
    open_link : callable
        Opens a connection to an address.
    bytes_per_s : float
        Budget of sent control messages, without bulk transfers.
    on_message : callable
        Receives each message of a peer, and a function that sends a
        message to the same peer.
    counters : Metrics
        Counts bytes, dropped messages and lost connections.
    now_ms : float
        Monotonic time at which the budgets start.
    max_links : int
        Maximum number of connections; the least recently used is closed.
    """

    def __init__(
        self,
        open_link: typing.Callable[..., links.Link],
        bytes_per_s: float,
        on_message: typing.Callable[
            [messages.Message, typing.Callable[[messages.Message], int]], None
        ],
        counters: metrics.Metrics,
        now_ms: float,
        max_links: int = MAX_LINKS,
    ) -> None:
        self._max_links = max_links
        self._open_link = open_link
        self._on_message = on_message
        self._counters = counters
        self._links: collections.OrderedDict[str, links.Link] = (
            collections.OrderedDict()
        )
        # Messages without an answer, and when the last one was counted.
        self._unanswered: dict[str, tuple[int, float]] = {}
        self._budget = budget.RateBudget(bytes_per_s, now_ms)
        self._bulk_budget = budget.RateBudget(BULK_BYTES_PER_S, now_ms)

    def send(
        self, address: str, message: messages.Message, now_ms: float
    ) -> None:
        """Send a message, or drop it if the budget is used up."""
        link = self._links.get(address)
        if link is not None and self._is_silent(address, message, now_ms):
            link.mark_lost('silent')
            link = None
        if link is None:
            link = self._open_link(address, self._receive, self._on_lost)
            self._links[address] = link
            self._close_least_recently_used()
        else:
            self._links.move_to_end(address)
        self.send_within_budget(message, link.send, now_ms)

    def send_within_budget(
        self,
        message: messages.Message,
        send: typing.Callable[[messages.Message], int],
        now_ms: float,
    ) -> None:
        """Pass a message to `send`, or drop it if the budget is used up."""
        bulk = isinstance(message, _BULK_TYPES)
        rate_budget = self._bulk_budget if bulk else self._budget
        if rate_budget.available(now_ms) <= 0:
            self._counters.control_dropped.labels('budget').inc()
            return
        size_bytes = send(message)
        rate_budget.spend(size_bytes, now_ms)
        type_name = type(message).__name__
        self._counters.control_bytes.labels('sent', type_name).inc(size_bytes)

    def count_received(
        self, message: messages.Message, size_bytes: int
    ) -> None:
        """Count a received control message."""
        type_name = type(message).__name__
        self._counters.control_bytes.labels('received', type_name).inc(
            size_bytes
        )

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _receive(
        self, link: links.Link, message: messages.Message, size_bytes: int
    ) -> None:
        self._unanswered.pop(link.address, None)
        self.count_received(message, size_bytes)
        self._on_message(message, link.send)

    def _on_lost(self, link: links.Link, loss: links.LinkLoss) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]
            self._unanswered.pop(link.address, None)
            self._counters.links_lost.labels(f'control_{loss.reason}').inc()

    def _is_silent(
        self, address: str, message: messages.Message, now_ms: float
    ) -> bool:
        """Count a message; return True if too many are unanswered.

        Messages that follow each other closely count once, since an answer
        takes a round trip.
        """
        if not isinstance(message, _ANSWERED_TYPES):
            return False
        count, counted_ms = self._unanswered.get(address, (0, -math.inf))
        if now_ms - counted_ms < MIN_ANSWER_MS:
            return False
        self._unanswered[address] = (count + 1, now_ms)
        return count + 1 > MAX_UNANSWERED

    def _close_least_recently_used(self) -> None:
        while len(self._links) > self._max_links:
            address, link = self._links.popitem(last=False)
            self._unanswered.pop(address, None)
            link.close()
