"""Receiver of what sidecars state besides their answers."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from jasminebeam.model import upstreams
    from jasminebeam.peering import cold_messages
    from jasminebeam.peering import messages


class Observer(typing.Protocol):
    """Receives load samples and round-trip times of one upstream."""

    def on_sample(self, sample: upstreams.LoadSample, now_ms: float) -> None:
        """Record a load sample."""

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Record the time between a ping and its answer."""

    def on_notice(
        self, notice: messages.UpstreamNotice, boot_id: int, now_ms: float
    ) -> None:
        """Record what the upstream states about itself."""

    def on_no_notice(self, boot_id: int) -> None:
        """Record that a process of the sidecar has no notice."""

    def on_cold(self, notice: cold_messages.ColdNotice, now_ms: float) -> None:
        """Record that the upstream is cold, or may be."""

    def on_warm(self) -> None:
        """Record that the upstream is no longer cold."""

    def notice_for(
        self, boot_id: int, now_ms: float
    ) -> messages.UpstreamNotice | None:
        """Return what a restarted sidecar must know; None if nothing."""
