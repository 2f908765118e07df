"""Checks the guarantees to callers against the runs that upstreams counted."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections

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
    ran_twice = 0
    false_not_run = 0
    cut_by_planned_stop = 0
    wrong_answers = 0
    for observation in observations:
        run_count = runs[observation.request_id]
        if not observation.stream.idempotent and run_count > 1:
            ran_twice += 1
        if observation.outcome == 'not-run' and run_count:
            false_not_run += 1
        if (
            observation.outcome == 'cut'
            and observation.caller_port not in killed_ports
        ):
            cut_by_planned_stop += 1
        if not observation.answer_matches:
            wrong_answers += 1
    return Violations(
        ran_twice, false_not_run, cut_by_planned_stop, wrong_answers
    )
