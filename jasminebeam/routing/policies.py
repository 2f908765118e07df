"""Load-balancing policies, which choose one of several upstreams."""

from __future__ import annotations

import random
import typing

from jasminebeam.routing import scoring

if typing.TYPE_CHECKING:
    from jasminebeam.routing import table

States = typing.Sequence['table.UpstreamState']

DEFAULT_COST_PARAMETERS = scoring.CostParameters()


class Policy(typing.Protocol):
    """Chooses the upstream of one attempt."""

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return one of the candidates; the list must not be empty."""


class RandomChoice:
    """Chooses an upstream uniformly at random."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return a random candidate."""
        return self._generator.choice(candidates)


class RoundRobin:
    """Chooses the upstreams in turn, in the order of their node ids."""

    def __init__(self, generator: random.Random) -> None:
        self._position = generator.randrange(1_000)

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return the next candidate."""
        self._position += 1
        ordered = sorted(candidates, key=lambda state: state.member.node_id)
        return ordered[self._position % len(ordered)]


class LeastReported:
    """Chooses the upstream that reports the least load."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return the candidate with the least reported load."""
        return min(
            candidates,
            key=lambda state: (
                _reported_load(state),
                self._generator.random(),
            ),
        )


class TwoChoices:
    """Power of two choices, by the outstanding requests of this node."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return the one of two random candidates with fewer requests.

        Only outstanding requests of this node count.
        """
        pair = self._generator.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda state: len(state.outstanding))


class LeastCost:
    """Chooses the upstream with the least expected completion time.

    Parameters
    ----------
    generator : random.Random
        Source of the random choices.
    choices : int
        Number of randomly drawn candidates that are compared.
    cost_parameters : CostParameters
        Parameters of the cost estimate.
    """

    def __init__(
        self,
        generator: random.Random,
        choices: int,
        cost_parameters: scoring.CostParameters,
    ) -> None:
        self._generator = generator
        self._choices = choices
        self._cost_parameters = cost_parameters

    def choose(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> table.UpstreamState:
        """Return the cheapest of the randomly drawn candidates."""
        return self.rank(candidates, now_ms, wall_ms)[0]

    def rank(
        self, candidates: States, now_ms: float, wall_ms: float
    ) -> list[table.UpstreamState]:
        """Return randomly drawn candidates, the cheapest first."""
        means = scoring.compute_means(candidates, self._cost_parameters)
        count = min(self._choices, len(candidates))
        drawn = self._generator.sample(candidates, count)
        return sorted(
            drawn,
            key=lambda state: scoring.estimate_cost_ms(
                state, means, self._cost_parameters, now_ms, wall_ms
            ),
        )


def create_all(
    generator: random.Random,
    choices: int,
    cost_parameters: scoring.CostParameters = DEFAULT_COST_PARAMETERS,
) -> dict[str, Policy]:
    """Return the policies by their names in service definitions.

    Parameters
    ----------
    generator : random.Random
        Source of the random choices.
    choices : int
        Number of candidates that the policy ``least_cost`` compares.
    cost_parameters : CostParameters
        Parameters of the cost that the policy ``least_cost`` compares.
    """
    return {
        'least_cost': LeastCost(generator, choices, cost_parameters),
        'random': RandomChoice(generator),
        'round_robin': RoundRobin(generator),
        'least_reported': LeastReported(generator),
        'two_choices': TwoChoices(generator),
    }


def _reported_load(state: table.UpstreamState) -> int:
    if state.sample is None:
        return 0
    return max(0, state.sample.reported)
