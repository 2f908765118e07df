"""Checks the guarantees to callers against the runs that upstreams counted."""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from bench import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """Counts of violated guarantees.

    Parameters
    ----------
    ran_twice : int
        Non-idempotent requests that ran more than once.
    false_not_run : int
        Requests that ran although their verdict is ``not-run``.
    cut_by_planned_stop : int
        Requests cut on a connection to a node that was not killed, such as
        one that stopped gracefully.
    wrong_answers : int
        Requests that received the answer to another request.
    """

    ran_twice: int
    false_not_run: int
    cut_by_planned_stop: int
    wrong_answers: int

    def total(self) -> int:
        """Return the total number of violations."""
        return sum(dataclasses.astuple(self))


def check(
    observations: typing.Sequence[traffic.Observation],
    runs: collections.Counter[str],
    killed_ports: typing.Collection[int],
) -> Violations:
    """Return the counts of violated guarantees.

    Parameters
    ----------
    observations : sequence of Observation
        Outcomes that the callers observed.
    runs : Counter
        Number of runs by request id, as the upstreams counted them.
    killed_ports : collection of int
        Caller ports of the nodes that were killed. A connection that
        breaks there violates no guarantee.
    """
    counts = collections.Counter(
        guarantee
        for guarantee, _ in violations(
            observations,
            runs,
            lambda observation: observation.caller_port in killed_ports,
        )
    )
    return Violations(**{name: counts[name] for name in _GUARANTEES})


def violations(
    observations: typing.Iterable[traffic.Observation],
    runs: collections.Counter[str],
    is_excused: typing.Callable[[traffic.Observation], bool],
) -> typing.Iterator[tuple[str, traffic.Observation]]:
    """Yield each violation: the name of its count, and the request.

    Parameters
    ----------
    observations, runs
        See `check`.
    is_excused : callable
        Returns True if a cut connection violates no guarantee, for example
        because the node was killed.
    """
    for observation in observations:
        run_count = runs[observation.request_id]
        if not observation.stream.idempotent and run_count > 1:
            yield 'ran_twice', observation
        if observation.outcome == 'not-run' and run_count:
            yield 'false_not_run', observation
        if observation.outcome == 'cut' and not is_excused(observation):
            yield 'cut_by_planned_stop', observation
        if not observation.answer_matches:
            yield 'wrong_answers', observation


_GUARANTEES = tuple(field.name for field in dataclasses.fields(Violations))
