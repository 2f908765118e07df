"""Operators' calls that concern evacuations."""

from __future__ import annotations

import typing

from returns import result

from jasminebeam.operators.generated import operators_pb2

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import evacuation_editor
    from jasminebeam.configuration import evacuations as directory
    from jasminebeam.ingress import load_query
    from jasminebeam.membership import task as membership_task
    from jasminebeam.model import upstreams


class EvacuationCalls:
    """Changes evacuations and tells how far they have progressed.

    Parameters
    ----------
    editor : EvacuationEditor
        Writes the changes to the store.
    in_force : EvacuationDirectory
        Evacuated failure domains that this node knows.
    membership : MembershipTask
        Lists the members and spreads changes.
    load : LoadQuery
        Asks sidecars for their running requests.
    """

    def __init__(
        self,
        editor: evacuation_editor.EvacuationEditor,
        in_force: directory.EvacuationDirectory,
        membership: membership_task.MembershipTask,
        load: load_query.LoadQuery,
    ) -> None:
        self._editor = editor
        self._in_force = in_force
        self._membership = membership
        self._load = load

    async def evacuate(self, domain: str) -> evacuation_editor.Change:
        """Evacuate a failure domain."""
        return self._adopt(await self._editor.evacuate(domain))

    async def restore(self, domain: str) -> evacuation_editor.Change:
        """Withdraw the evacuation of a failure domain."""
        return self._adopt(await self._editor.restore(domain))

    def _adopt(
        self, change: evacuation_editor.Change
    ) -> evacuation_editor.Change:
        if isinstance(change, result.Success):
            self._membership.adopt_evacuations(change.unwrap(), listed=False)
        return change

    async def state(self) -> operators_pb2.ListEvacuationsResponse:
        """Return the evacuated domains and the requests that run there."""
        current = self._in_force.current
        return operators_pb2.ListEvacuationsResponse(
            revision=current.revision,
            evacuations=[
                await self._state_of(domain) for domain in current.domains
            ],
        )

    async def _state_of(self, domain: str) -> operators_pb2.Evacuation:
        running = await self._load.read(self._upstreams_of(domain))
        return operators_pb2.Evacuation(
            domain=domain,
            upstreams=len(running),
            running=sum(count or 0 for count in running.values()),
            working=sorted(name for name, count in running.items() if count),
            silent=sorted(
                name for name, count in running.items() if count is None
            ),
        )

    def _upstreams_of(self, domain: str) -> list[upstreams.Member]:
        return [
            member
            for member in self._membership.members()
            if member.failure_domain == domain and _may_run(member)
        ]


def _may_run(member: upstreams.Member) -> bool:
    """Return True if a member has an upstream and may be alive."""
    return bool(member.service) and member.status in (
        member.status.ALIVE,
        member.status.SUSPECT,
    )
