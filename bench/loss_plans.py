"""Plans which nodes of a fleet are lost, and when the routes change."""

from __future__ import annotations

import dataclasses
import enum
import random
import signal
import typing

# Interval between two losses of a plan that loses one node after the other.
TURN_S = 1.0
# Number of ranks of each failure domain that a plan loses at most.
LOST_RANKS = 8


class Means(enum.Enum):
    """How nodes are lost."""

    PAUSED = 'paused'
    KILLED = 'killed'
    STOPPED = 'stopped'
    # Connections with other nodes are cut, those with the store are not.
    CUT = 'cut'


SIGNALS = {
    Means.PAUSED: signal.SIGSTOP,
    Means.KILLED: signal.SIGKILL,
    Means.STOPPED: signal.SIGTERM,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Nodes of a fleet.

    Parameters
    ----------
    ranked : mapping
        Node ids by failure domain, in the order in which they may become
        delegates.
    delegates : frozenset of str
        Nodes that register in the store or watch it.
    """

    ranked: typing.Mapping[str, tuple[str, ...]]
    delegates: frozenset[str]

    def delegates_of(self, *failure_domains: str) -> tuple[str, ...]:
        """Return the delegates of some failure domains."""
        return tuple(
            node_id
            for domain in failure_domains
            for node_id in self.ranked[domain]
            if node_id in self.delegates
        )

    @property
    def node_ids(self) -> tuple[str, ...]:
        """All nodes."""
        return tuple(
            node_id for ranked in self.ranked.values() for node_id in ranked
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Nodes that are lost at one moment.

    Parameters
    ----------
    at_s : float
        Time since the first loss.
    means : Means
        How they are lost.
    node_ids : tuple of str
        The nodes.
    failure_domain : str
        Failure domain that is cut as a whole from the others; empty for
        none. Its nodes keep their connections with each other.
    """

    at_s: float
    means: Means
    node_ids: tuple[str, ...]
    failure_domain: str = ''


Chooser = typing.Callable[
    [Layout, Means, random.Random], typing.Iterable[Loss]
]


def untouched(
    layout: Layout, losses: typing.Iterable[Loss]
) -> tuple[str, ...]:
    """Return the nodes that no loss touches.

    Examples
    --------
    >>> layout = Layout({'a': ('n1', 'n2')}, frozenset({'n1'}))
    >>> untouched(layout, [Loss(0.0, Means.PAUSED, ('n1',))])
    ('n2',)
    """
    lost = {node_id for loss in losses for node_id in loss.node_ids}
    return tuple(node_id for node_id in layout.node_ids if node_id not in lost)


def change_times_s(
    losses: typing.Sequence[Loss], change_after_s: float
) -> tuple[float, ...]:
    """Return the times of the changes: one after each moment of a loss.

    Examples
    --------
    >>> change_times_s([Loss(0.0, Means.KILLED, ('n1',))], 0.2)
    (0.2,)
    """
    moments_s = sorted({loss.at_s for loss in losses})
    return tuple(moment_s + change_after_s for moment_s in moments_s)


def _delegates(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    return [Loss(0.0, means, layout.delegates_of(*layout.ranked))]


def _two_domains(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    domains = list(layout.ranked)[:2]
    return [Loss(0.0, means, layout.delegates_of(*domains))]


def _third_delegates_cut(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    third = list(layout.ranked)[2]
    cut = Loss(0.0, Means.CUT, layout.delegates_of(third))
    return [*_two_domains(layout, means, generator), cut]


def _third_domain_cut(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    third = list(layout.ranked)[2]
    cut = Loss(0.0, Means.CUT, (), failure_domain=third)
    return [*_two_domains(layout, means, generator), cut]


def _in_turn(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    node_ids = layout.delegates_of(*layout.ranked)
    return [
        Loss(turn * TURN_S, means, (node_id,))
        for turn, node_id in enumerate(node_ids)
    ]


def _first_ranks(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    lost = tuple(
        node_id
        for ranked in layout.ranked.values()
        for node_id in ranked[: min(LOST_RANKS, len(ranked) - 1)]
    )
    return [Loss(0.0, means, lost)]


def _half(
    layout: Layout, means: Means, generator: random.Random
) -> list[Loss]:
    node_ids = layout.node_ids
    lost = generator.sample(node_ids, len(node_ids) // 2)
    return [Loss(0.0, means, tuple(lost))]


SETS: dict[str, Chooser] = {
    'delegates': _delegates,
    'two-domains': _two_domains,
    'in-turn': _in_turn,
    'first-ranks': _first_ranks,
    'half': _half,
    'third-delegates-cut': _third_delegates_cut,
    'third-domain-cut': _third_domain_cut,
}

# Sets whose losses need the stand-in network.
CUT_SETS = frozenset({'third-delegates-cut', 'third-domain-cut'})
