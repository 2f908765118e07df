"""Enforces evacuations at one node."""

from __future__ import annotations

import typing

from jasminebeam.telemetry import events

if typing.TYPE_CHECKING:
    from jasminebeam.model import evacuations
    from jasminebeam.telemetry import metrics


class Table(typing.Protocol):
    """Part of the routing table that changes with evacuations."""

    def set_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Leave the upstreams of these domains out of all subsets."""


class Sidecar(typing.Protocol):
    """Part of the sidecar that changes with evacuations."""

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuse new and waiting requests during an evacuation."""


class EvacuationEnforcer:
    """Passes the evacuated domains on to the parts that act on them.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    table : Table
        Routing table of the ingress role.
    sidecar : Sidecar
        Sidecar of the local upstream.
    log : EventLog
        Receives each evacuation and withdrawal.
    counters : Metrics
        Receives the number of evacuated domains.
    """

    def __init__(
        self,
        failure_domain: str,
        table: Table,
        sidecar: Sidecar,
        log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._failure_domain = failure_domain
        self._table = table
        self._sidecar = sidecar
        self._log = log
        self._counters = counters
        self._domains: frozenset[str] = frozenset()

    def apply(self, current: evacuations.Evacuations) -> None:
        """Enforce a set that has come into force."""
        domains = frozenset(current.domains)
        if domains == self._domains:
            return
        evacuated = sorted(domains - self._domains)
        restored = sorted(self._domains - domains)
        self._domains = domains
        self._table.set_evacuated_domains(domains)
        self._sidecar.set_evacuated(self._failure_domain in domains)
        self._counters.evacuated_domains.set(len(domains))
        for domain in evacuated:
            self._write(events.Event.DOMAIN_EVACUATED, domain, current)
        for domain in restored:
            self._write(events.Event.DOMAIN_RESTORED, domain, current)

    def _write(
        self,
        event: events.Event,
        domain: str,
        current: evacuations.Evacuations,
    ) -> None:
        self._log.write(event, domain=domain, revision=current.revision)
