"""Finds the nodes that use the store for their failure domain."""

from __future__ import annotations

import json
import pathlib
import typing

from bench import loss_plans
from jasminebeam.routing import subset

if typing.TYPE_CHECKING:
    from bench import fleet

# Event that begins a duty, and the one that ends it.
_DUTIES = ((502, 503), (509, 510))


def is_delegate(lines: typing.Iterable[str]) -> bool:
    """Return True if a node registers in the store or watches it.

    Parameters
    ----------
    lines : iterable of str
        Log of the node's process.

    Examples
    --------
    >>> is_delegate(['{"event": 502}', '{"event": 506}'])
    True
    >>> is_delegate(['{"event": 502}', '{"event": 503}'])
    False
    """
    held: dict[int, bool] = {}
    for line in lines:
        event = _event(line)
        for begins, ends in _DUTIES:
            if event in (begins, ends):
                held[begins] = event == begins
    return any(held.values())


def layout(
    hosts: typing.Iterable[fleet.Host],
    log_path: typing.Callable[[fleet.Host], pathlib.Path],
) -> loss_plans.Layout:
    """Return the nodes of a fleet by rank, and its delegates."""
    by_domain: dict[str, list[str]] = {}
    delegates = set()
    for host in hosts:
        by_domain.setdefault(host.failure_domain, []).append(host.node_id)
        with log_path(host).open() as lines:
            if is_delegate(lines):
                delegates.add(host.node_id)
    ranked = {
        domain: tuple(subset.choose(domain, node_ids, len(node_ids)))
        for domain, node_ids in by_domain.items()
    }
    return loss_plans.Layout(ranked, frozenset(delegates))


def _event(line: str) -> int | None:
    """Return the number of the event of a line; None if it has none."""
    try:
        record = json.loads(line)
    except ValueError:
        return None
    return record.get('event') if isinstance(record, dict) else None
