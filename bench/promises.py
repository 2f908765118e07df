"""Checks of the promises against the upstreams' own count of runs."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections

    from bench import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Counts of broken promises.

    Parameters
    ----------
    ran_twice : int
        Requests that are not idempotent and ran more than once.
    false_not_run : int
        Requests reported as not run that did run.
    cut_by_planned_stop : int
        Requests cut on a connection to a node that stopped as planned.
    wrong_answers : int
        Answers that belong to another request.
    """

    ran_twice: int
    false_not_run: int
    cut_by_planned_stop: int
    wrong_answers: int

    def total(self) -> int:
        """Return the number of broken promises."""
        return sum(dataclasses.astuple(self))


def check(
    observations: typing.Sequence[traffic.Observation],
    runs: collections.Counter[str],
    killed_ports: typing.Collection[int],
) -> Broken:
    """Return the counts of broken promises.

    Parameters
    ----------
    observations : sequence of Observation
        What the callers saw.
    runs : Counter
        Runs by request id, as the upstreams counted them.
    killed_ports : collection of int
        Caller ports of nodes that were killed; only there a cut
        connection breaks no promise.
    """
    ran_twice = 0
    false_not_run = 0
    cut = 0
    wrong = 0
    for observation in observations:
        count = runs[observation.request_id]
        if not observation.stream.idempotent and count > 1:
            ran_twice += 1
        if observation.outcome == 'not-run' and count:
            false_not_run += 1
        if (
            observation.outcome == 'cut'
            and observation.caller_port not in killed_ports
        ):
            cut += 1
        if not observation.right:
            wrong += 1
    return Broken(ran_twice, false_not_run, cut, wrong)
