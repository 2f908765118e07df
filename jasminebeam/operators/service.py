"""Implementation of the operators' gRPC service."""

from __future__ import annotations

import asyncio
import json
import typing

import grpclib
from grpclib import const
from returns import result

from jasminebeam.operators import convert
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

if typing.TYPE_CHECKING:
    from grpclib import server

    from jasminebeam.configuration import changes
    from jasminebeam.configuration import directory
    from jasminebeam.membership import task as membership_task
    from jasminebeam.model import services
    from jasminebeam.model import upstreams
    from jasminebeam.operators import evacuations
    from jasminebeam.operators import teams
    from jasminebeam.routing import table
    from jasminebeam.telemetry import events

T = typing.TypeVar('T')

_STATUS_BY_REJECTION = {
    'invalid': const.Status.INVALID_ARGUMENT,
    'conflict': const.Status.ABORTED,
    'missing': const.Status.NOT_FOUND,
    'unavailable': const.Status.UNAVAILABLE,
}


class UpstreamDrainer(typing.Protocol):
    """Drains the node's upstream."""

    def drain_upstream(self) -> int:
        """Stop new requests; return the number still at the upstream."""


class OperatorsService(operators_grpc.OperatorsBase):
    """Serves operators' calls on one node.

    Parameters
    ----------
    editor : ServiceEditor
        Writes changes to the store.
    service_directory : ServiceDirectory
        Service revisions in force at this node.
    membership : MembershipTask
        Lists the members and queries them for their revisions.
    routing_table : RoutingTable
        Provides the load samples and ejections of the upstreams.
    drainer : UpstreamDrainer
        Drains the upstream of this node.
    log : EventLog
        Source of the events that are streamed.
    clock : callable
        Returns the monotonic time in ms.
    evacuation_calls : EvacuationCalls
        Serves the calls that concern evacuations.
    team_calls : TeamCalls
        Serves the calls that concern teams.
    """

    def __init__(
        self,
        editor: changes.ServiceEditor,
        service_directory: directory.ServiceDirectory,
        membership: membership_task.MembershipTask,
        routing_table: table.RoutingTable,
        drainer: UpstreamDrainer,
        log: events.EventLog,
        clock: typing.Callable[[], float],
        evacuation_calls: evacuations.EvacuationCalls,
        team_calls: teams.TeamCalls,
    ) -> None:
        self._evacuations = evacuation_calls
        self._teams = team_calls
        self._editor = editor
        self._service_directory = service_directory
        self._membership = membership
        self._routing_table = routing_table
        self._drainer = drainer
        self._log = log
        self._clock = clock

    async def CreateService(self, stream: server.Stream) -> None:
        """Create a service that does not exist or was deleted."""
        request = await _receive(stream)
        service = convert.service_from_message(request.service)
        change = await self._editor.create(
            service, request.change_id, request.service.public
        )
        await self._answer_change(stream, change)

    async def UpdateService(self, stream: server.Stream) -> None:
        """Replace the definition of a service."""
        request = await _receive(stream)
        service = convert.service_from_message(request.service)
        change = await self._editor.update(
            service,
            request.expected_revision,
            request.change_id,
            request.service.public,
        )
        await self._answer_change(stream, change)

    async def DeleteService(self, stream: server.Stream) -> None:
        """Replace the definition of a service by a tombstone."""
        request = await _receive(stream)
        change = await self._editor.delete(
            request.name, request.expected_revision, request.change_id
        )
        await self._answer_change(stream, change)

    async def GetService(self, stream: server.Stream) -> None:
        """Return the revision of a service in force at this node."""
        request = await _receive(stream)
        revision = self._revision_in_force(request.name)
        await stream.send_message(convert.revision_to_message(revision))

    async def ListServices(self, stream: server.Stream) -> None:
        """Return the services in force at this node."""
        await _receive(stream)
        found = [
            convert.revision_to_message(revision)
            for revision in self._service_directory.all()
            if revision.service is not None
        ]
        found.sort(key=lambda message: message.name)
        await stream.send_message(
            operators_pb2.ListServicesResponse(services=found)
        )

    async def ListUpstreams(self, stream: server.Stream) -> None:
        """Return the members and their loads as this node knows them."""
        request = await _receive(stream)
        found = [
            self._upstream_message(member)
            for member in self._membership.members()
            if request.service in ('', member.service)
        ]
        found.sort(key=lambda message: (message.service, message.node_id))
        await stream.send_message(
            operators_pb2.ListUpstreamsResponse(upstreams=found)
        )

    async def WhereInForce(self, stream: server.Stream) -> None:
        """Return which members have a revision of a service in force."""
        request = await _receive(stream)
        revision = (
            request.revision or self._revision_in_force(request.name).revision
        )
        answers = await self._membership.query_revisions(request.name)
        behind = [
            node_id
            for node_id, found in answers.items()
            if found is not None and found < revision
        ]
        unanswered = [
            node_id for node_id, found in answers.items() if found is None
        ]
        await stream.send_message(
            operators_pb2.WhereInForceResponse(
                revision=revision,
                in_force=len(answers) - len(behind) - len(unanswered),
                behind=sorted(behind),
                silent=sorted(unanswered),
            )
        )

    async def DrainUpstream(self, stream: server.Stream) -> None:
        """Stop new requests to the upstream of this node."""
        request = await _receive(stream)
        if request.node_id != self._membership.local_member.node_id:
            member = self._membership.member(request.node_id)
            if member is None:
                detail = f'no node {request.node_id}'
                raise grpclib.GRPCError(const.Status.NOT_FOUND, detail)
            detail = f'call the node itself, its peer is {member.address}'
            raise grpclib.GRPCError(const.Status.FAILED_PRECONDITION, detail)
        in_flight = self._drainer.drain_upstream()
        await stream.send_message(
            operators_pb2.DrainUpstreamResponse(in_flight=in_flight)
        )

    async def Evacuate(self, stream: server.Stream) -> None:
        """Stop new requests to all upstreams of a failure domain."""
        request = await _receive(stream)
        _check_change(await self._evacuations.evacuate(request.domain))
        await stream.send_message(await self._evacuations.state())

    async def Restore(self, stream: server.Stream) -> None:
        """Withdraw the evacuation of a failure domain."""
        request = await _receive(stream)
        _check_change(await self._evacuations.restore(request.domain))
        await stream.send_message(await self._evacuations.state())

    async def ListEvacuations(self, stream: server.Stream) -> None:
        """Return the evacuated failure domains and their state."""
        await _receive(stream)
        await stream.send_message(await self._evacuations.state())

    async def CreateTeam(self, stream: server.Stream) -> None:
        """Create a team without keys."""
        await self._change_teams(stream, self._teams.create)

    async def UpdateTeam(self, stream: server.Stream) -> None:
        """Replace the definition of a team."""
        await self._change_teams(stream, self._teams.update)

    async def DeleteTeam(self, stream: server.Stream) -> None:
        """Delete a team and withdraw its keys."""
        await self._change_teams(stream, self._teams.delete)

    async def AddTeamKey(self, stream: server.Stream) -> None:
        """Add a key to a team."""
        await self._change_teams(stream, self._teams.add_key)

    async def WithdrawTeamKey(self, stream: server.Stream) -> None:
        """Withdraw a key of a team."""
        await self._change_teams(stream, self._teams.withdraw_key)

    async def ListTeams(self, stream: server.Stream) -> None:
        """Return the teams in force and their requests at this node."""
        await _receive(stream)
        await stream.send_message(await self._teams.list_in_force())

    async def WatchEvents(self, stream: server.Stream) -> None:
        """Stream events as they happen."""
        await _receive(stream)
        queue: asyncio.Queue[events.Record] = asyncio.Queue(maxsize=1_000)
        with self._log.subscribe(queue):
            while True:
                record = await queue.get()
                await stream.send_message(
                    operators_pb2.Event(
                        time_ms=record.time_ms,
                        number=record.kind.number,
                        text=record.kind.text,
                        fields_json=json.dumps(record.fields, default=str),
                    )
                )

    async def _change_teams(
        self,
        stream: server.Stream,
        change: typing.Callable[[typing.Any], typing.Awaitable[teams.Answer]],
    ) -> None:
        changed = await change(await _receive(stream))
        await stream.send_message(_check_change(changed))

    async def _answer_change(
        self, stream: server.Stream, change: changes.Change
    ) -> None:
        revision = _check_change(change)
        if await self._teams.are_known():
            self._membership.adopt_revision(revision)
        await stream.send_message(convert.revision_to_message(revision))

    def _revision_in_force(self, name: str) -> services.ServiceRevision:
        revision = self._service_directory.get(name)
        if revision is None or revision.service is None:
            raise grpclib.GRPCError(
                const.Status.NOT_FOUND, f'no service {name!r}'
            )
        return revision

    def _upstream_message(
        self, member: upstreams.Member
    ) -> operators_pb2.Upstream:
        state = self._routing_table.state(member.node_id)
        sample = state.sample if state is not None else None
        now_ms = self._clock()
        return operators_pb2.Upstream(
            node_id=member.node_id,
            address=member.address,
            failure_domain=member.failure_domain,
            region=member.region,
            service=member.service,
            status=member.status.name.lower(),
            phase=member.phase.name.lower(),
            slots=member.slots,
            in_flight=sample.in_flight if sample else 0,
            queued=sample.queued if sample else 0,
            sample_age_ms=int(now_ms - state.sample_ms) if sample else -1,
            ejected=state is not None and state.is_ejected(now_ms),
            limit_per_s=state.limit_per_s if state is not None else None,
            cold=state is not None and state.is_cold,
        )


def _check_change(
    change: result.Result[T, changes.Rejection],
) -> T:
    """Return what a change has written.

    Raises
    ------
    GRPCError
        If the change was rejected.
    """
    if isinstance(change, result.Success):
        return change.unwrap()
    rejection = change.failure()
    detail = rejection.detail
    if rejection.current_revision:
        detail += f' (current revision {rejection.current_revision})'
    raise grpclib.GRPCError(_STATUS_BY_REJECTION[rejection.kind], detail)


async def _receive(stream: server.Stream) -> typing.Any:
    request = await stream.recv_message()
    if request is None:
        raise grpclib.GRPCError(
            const.Status.INVALID_ARGUMENT, 'the request is missing'
        )
    return request
