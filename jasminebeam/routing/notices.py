"""Notices of sidecars that must outlive a restart of the sidecar."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from jasminebeam.peering import messages

# An upstream that names a limit or leaves for longer than this has been heard
# of again in the meantime.
LIFETIME_MS = 600_000.0
MAX_NOTICES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    notice: messages.UpstreamNotice
    boot_id: int
    received_ms: float


class NoticeBook:
    """Last notice of each sidecar, by the name of its node.

    Membership records are dropped when a node dies. The notices are kept,
    because the upstream may live on.
    """

    def __init__(self) -> None:
        self._received: dict[str, _Received] = {}

    def record(
        self,
        node_id: str,
        notice: messages.UpstreamNotice,
        boot_id: int,
        now_ms: float,
    ) -> None:
        """Record a notice; one without a content removes the former one."""
        self._received.pop(node_id, None)
        if notice.limit_per_s is None and not notice.leaving:
            return
        if len(self._received) >= MAX_NOTICES:
            del self._received[next(iter(self._received))]
        self._received[node_id] = _Received(notice, boot_id, now_ms)

    def forget(self, node_id: str, boot_id: int) -> None:
        """Remove a notice if that process of the sidecar has sent it."""
        received = self._received.get(node_id)
        if received is not None and received.boot_id == boot_id:
            del self._received[node_id]

    def for_restarted(
        self, node_id: str, boot_id: int, now_ms: float
    ) -> messages.UpstreamNotice | None:
        """Return what another process of a sidecar has told.

        Parameters
        ----------
        node_id : str
            Node of the sidecar.
        boot_id : int
            Identifies the sidecar's present process.
        now_ms : float
            Monotonic time.
        """
        received = self._received.get(node_id)
        if received is None or received.boot_id == boot_id:
            return None
        if now_ms - received.received_ms > LIFETIME_MS:
            return None
        return received.notice
