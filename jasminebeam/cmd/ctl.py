"""Command-line client of the operators' gRPC interface."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import json
import pathlib
import ssl
import sys
import typing
import uuid

from absl import app
from absl import flags
from google.protobuf import json_format
import grpclib
from grpclib import const
import tabulate

from jasminebeam.cmd import team_commands
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2
from jasminebeam.operators import host_states
from jasminebeam.operators import team_states

_ADDRESS = flags.DEFINE_string(
    'address', '127.0.0.1:7003', 'host:port of the node to call.'
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of tables.')
_TIMEOUT_MS = flags.DEFINE_integer(
    'timeout_ms', 30_000, 'Timeout of a call in ms.', lower_bound=1
)
_CHANGE_ID = flags.DEFINE_string(
    'change_id',
    '',
    'Identifier of the change; reuse it to retry a change safely.',
)
_REVISION = flags.DEFINE_integer(
    'revision',
    0,
    'Expected revision of an update or deletion (for a team, its number); '
    'revision that "where" shows.',
)
_INTERVAL_MS = flags.DEFINE_integer(
    'interval_ms', 2_000, 'Time over which "teams" measures rates, in ms.', 1
)
_METRICS = flags.DEFINE_bool(
    'metrics', False, 'The addresses for "teams" are those of metrics.'
)
_TLS_CA = flags.DEFINE_string('tls_ca', '', 'PEM file of the server CA.')
_TLS_CERTIFICATE = flags.DEFINE_string(
    'tls_certificate', '', 'PEM file of the client certificate.'
)
_TLS_KEY = flags.DEFINE_string('tls_key', '', 'PEM file of the client key.')

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_NOT_FOUND = 5

_EXIT_BY_STATUS = {
    const.Status.INVALID_ARGUMENT: EXIT_INVALID,
    const.Status.FAILED_PRECONDITION: EXIT_INVALID,
    const.Status.ABORTED: EXIT_CONFLICT,
    const.Status.UNAVAILABLE: EXIT_UNAVAILABLE,
    const.Status.DEADLINE_EXCEEDED: EXIT_UNAVAILABLE,
    const.Status.NOT_FOUND: EXIT_NOT_FOUND,
}

Stub = operators_grpc.OperatorsStub
CommandFunction = typing.Callable[[Stub, list[str]], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command with its help texts and the function that runs it."""

    usage: str
    summary: str
    argument_count: int
    run: CommandFunction


class UsageError(Exception):
    """An error on the command line or in a service file."""


def _change_id() -> str:
    return _CHANGE_ID.value or uuid.uuid4().hex


def _read_service(path: str) -> operators_pb2.Service:
    try:
        text = pathlib.Path(path).read_text()
        return json_format.Parse(text, operators_pb2.Service())
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    except json_format.ParseError as error:
        raise UsageError(f'{path}: {error}') from error


async def _create(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.CreateServiceRequest(
        service=_read_service(arguments[0]), change_id=_change_id()
    )
    _print_revisions([await stub.CreateService(request)])


async def _update(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.UpdateServiceRequest(
        service=_read_service(arguments[0]),
        expected_revision=_REVISION.value,
        change_id=_change_id(),
    )
    _print_revisions([await stub.UpdateService(request)])


async def _delete(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.DeleteServiceRequest(
        name=arguments[0],
        expected_revision=_REVISION.value,
        change_id=_change_id(),
    )
    _print_revisions([await stub.DeleteService(request)])


async def _get(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.GetServiceRequest(name=arguments[0])
    print(_to_json(await stub.GetService(request)))


async def _list(stub: Stub, arguments: list[str]) -> None:
    answer = await stub.ListServices(operators_pb2.ListServicesRequest())
    _print_revisions(answer.services)


async def _upstreams(stub: Stub, arguments: list[str]) -> None:
    service = arguments[0] if arguments else ''
    request = operators_pb2.ListUpstreamsRequest(service=service)
    answer = await stub.ListUpstreams(request)
    fields = (
        'service',
        'node_id',
        'address',
        'failure_domain',
        'status',
        'phase',
        'slots',
        'in_flight',
        'queued',
        'sample_age_ms',
        'ejected',
        'limit_per_s',
        'cold',
    )
    _print_rows(answer.upstreams, fields)


async def _where(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.WhereInForceRequest(
        name=arguments[0], revision=_REVISION.value
    )
    answer = await stub.WhereInForce(request)
    _print_rows([answer], ('revision', 'in_force', 'behind', 'silent'))


async def _drain(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.DrainUpstreamRequest(node_id=arguments[0])
    answer = await stub.DrainUpstream(request)
    _print_rows([answer], ('in_flight',))


async def _evacuate(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.EvacuateRequest(domain=arguments[0])
    _print_evacuations(await stub.Evacuate(request))


async def _restore(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.RestoreRequest(domain=arguments[0])
    _print_evacuations(await stub.Restore(request))


async def _evacuations(stub: Stub, arguments: list[str]) -> None:
    request = operators_pb2.ListEvacuationsRequest()
    _print_evacuations(await stub.ListEvacuations(request))


def _print_evacuations(
    answer: operators_pb2.ListEvacuationsResponse,
) -> None:
    fields = ('domain', 'upstreams', 'running', 'working', 'silent')
    _print_rows(answer.evacuations, fields)


async def _create_team(stub: Stub, arguments: list[str]) -> None:
    _print_teams(await team_commands.create(stub, arguments[0], _change_id()))


async def _update_team(stub: Stub, arguments: list[str]) -> None:
    _print_teams(
        await team_commands.update(
            stub, arguments[0], _REVISION.value, _change_id()
        )
    )


async def _delete_team(stub: Stub, arguments: list[str]) -> None:
    _print_teams(
        await team_commands.delete(
            stub, arguments[0], _REVISION.value, _change_id()
        )
    )


async def _add_key(stub: Stub, arguments: list[str]) -> None:
    _print_teams(await team_commands.add_key(stub, *arguments, _change_id()))


async def _withdraw_key(stub: Stub, arguments: list[str]) -> None:
    _print_teams(
        await team_commands.withdraw_key(stub, *arguments, _change_id())
    )


async def _list_teams(stub: Stub, arguments: list[str]) -> None:
    _print_teams(await stub.ListTeams(operators_pb2.ListTeamsRequest()))


def _print_teams(answer: operators_pb2.ListTeamsResponse) -> None:
    if _JSON.value:
        print(_to_json(answer))
        return
    print(
        tabulate.tabulate(
            team_commands.rows(answer), headers=team_commands.FIELDS
        )
    )


async def _teams(stub: Stub, arguments: list[str]) -> None:
    read = functools.partial(team_states.read_operators, tls=_tls_context())
    if _METRICS.value:
        read = team_states.read_metrics
    addresses = arguments or [_ADDRESS.value]
    for address in addresses:
        if not address.rpartition(':')[2].isdigit():
            raise UsageError(f'{address!r} is not host:port')
    states, silent = await team_states.read_twice(
        addresses, read, _INTERVAL_MS.value / 1_000
    )
    rows = [dataclasses.asdict(state) for state in states]
    if _JSON.value:
        print(json.dumps({'teams': rows, 'silent': silent}, indent=2))
    else:
        print(tabulate.tabulate(rows, headers='keys'))
        if silent:
            print('no answer:', ' '.join(silent))


async def _events(stub: Stub, arguments: list[str]) -> None:
    async with stub.WatchEvents.open() as stream:
        request = operators_pb2.WatchEventsRequest()
        await stream.send_message(request, end=True)
        async for event in stream:
            print(
                event.time_ms,
                event.number,
                event.text,
                event.fields_json,
                flush=True,
            )


async def _hosts(stub: Stub, arguments: list[str]) -> None:
    if not arguments:
        raise UsageError(f'usage: jasminebeam-ctl {COMMANDS["hosts"].usage}')
    states = await host_states.read_all(arguments)
    # Hosts that are behind, or do not answer, come first.
    states.sort(key=lambda state: (state.revision or 0, state.address))
    rows = [dataclasses.asdict(state) for state in states]
    if _JSON.value:
        print(json.dumps(rows, indent=2))
        return
    print(tabulate.tabulate(rows, headers='keys', missingval='no answer'))


COMMANDS = {
    'create': Command('create FILE', 'Create a service.', 1, _create),
    'update': Command(
        'update FILE --revision=N', 'Replace a service.', 1, _update
    ),
    'delete': Command(
        'delete NAME --revision=N', 'Delete a service.', 1, _delete
    ),
    'get': Command('get NAME', 'Print one service.', 1, _get),
    'list': Command('list', 'List the services.', 0, _list),
    'upstreams': Command(
        'upstreams [SERVICE]', 'List the upstreams.', -1, _upstreams
    ),
    'where': Command(
        'where NAME', 'Show where a revision is in force.', 1, _where
    ),
    'hosts': Command(
        'hosts METRICS_ADDRESS...',
        'Show the revision and the age of the last store contact by host.',
        -1,
        _hosts,
    ),
    'drain': Command('drain NODE', 'Drain the upstream of a node.', 1, _drain),
    'evacuate': Command(
        'evacuate DOMAIN',
        'Send no more requests to a failure domain.',
        1,
        _evacuate,
    ),
    'restore': Command(
        'restore DOMAIN', 'Withdraw an evacuation.', 1, _restore
    ),
    'evacuations': Command(
        'evacuations',
        'List evacuated failure domains and what still runs there.',
        0,
        _evacuations,
    ),
    'create-team': Command(
        'create-team FILE', 'Create a team.', 1, _create_team
    ),
    'update-team': Command(
        'update-team FILE --revision=N', 'Replace a team.', 1, _update_team
    ),
    'delete-team': Command(
        'delete-team NAME --revision=N',
        'Delete a team and withdraw its keys.',
        1,
        _delete_team,
    ),
    'add-key': Command(
        'add-key TEAM FILE',
        'Add the key in a file, or on standard input (-), to a team.',
        2,
        _add_key,
    ),
    'withdraw-key': Command(
        'withdraw-key TEAM FILE',
        'Withdraw the key in a file, or on standard input (-).',
        2,
        _withdraw_key,
    ),
    'list-teams': Command(
        'list-teams', 'List the definitions of the teams.', 0, _list_teams
    ),
    'teams': Command(
        'teams [ADDRESS...]',
        'Show rate, limit and requests of each team over these nodes.',
        -1,
        _teams,
    ),
    'events': Command('events', 'Print events as they happen.', 0, _events),
}


def _to_json(message: typing.Any) -> str:
    return json_format.MessageToJson(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def _print_revisions(
    revisions: typing.Iterable[operators_pb2.ServiceRevision],
) -> None:
    _print_rows(list(revisions), ('name', 'revision', 'change_id'))


def _print_rows(
    messages: typing.Sequence[typing.Any], fields: tuple[str, ...]
) -> None:
    if _JSON.value:
        documents = [json.loads(_to_json(message)) for message in messages]
        print(json.dumps(documents, indent=2))
        return
    rows = [
        [_format_cell(message, field) for field in fields]
        for message in messages
    ]
    print(tabulate.tabulate(rows, headers=fields))


def _format_cell(message: typing.Any, field: str) -> typing.Any:
    is_optional = message.DESCRIPTOR.fields_by_name[field].has_presence
    if is_optional and not message.HasField(field):
        return ''
    value = getattr(message, field)
    if isinstance(value, bool | int | float | str):
        return value
    return ' '.join(value)


def _tls_context() -> ssl.SSLContext | None:
    if not _TLS_CA.value:
        return None
    context = ssl.create_default_context(cafile=_TLS_CA.value)
    context.set_alpn_protocols(['h2'])
    if _TLS_CERTIFICATE.value:
        context.load_cert_chain(_TLS_CERTIFICATE.value, _TLS_KEY.value)
    return context


def _usage_text() -> str:
    rows = [[command.usage, command.summary] for command in COMMANDS.values()]
    table = tabulate.tabulate(rows, tablefmt='plain')
    return f'usage: jasminebeam-ctl [flags] COMMAND\n{table}'


def _parse_command(arguments: list[str]) -> tuple[Command, list[str]]:
    if not arguments or arguments[0] not in COMMANDS:
        raise UsageError(_usage_text())
    command = COMMANDS[arguments[0]]
    command_arguments = arguments[1:]
    if (
        command.argument_count >= 0
        and len(command_arguments) != command.argument_count
    ):
        raise UsageError(f'usage: jasminebeam-ctl {command.usage}')
    return command, command_arguments


async def _run_command(command: Command, arguments: list[str]) -> None:
    host, _, port = _ADDRESS.value.rpartition(':')
    if not port.isdigit():
        raise UsageError(f'--address: {_ADDRESS.value!r} is not host:port')
    channel = channel_module.Channel(host, int(port), _tls_context())
    timeout_s = _TIMEOUT_MS.value / 1_000
    if command.run is _events:
        timeout_s = None
    try:
        async with asyncio.timeout(timeout_s):
            await command.run(Stub(channel), arguments)
    finally:
        channel.close()


def main(arguments: typing.Sequence[str]) -> int:
    """Run one command.

    Returns
    -------
    int
        Exit status: 0 for success, 2 for invalid input, 3 for a conflict,
        4 for unavailable, 5 for not found, 1 for other failures.
    """
    try:
        command, command_arguments = _parse_command(list(arguments[1:]))
        asyncio.run(_run_command(command, command_arguments))
    except (UsageError, team_commands.InputError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except grpclib.GRPCError as error:
        print(f'{error.status.name}: {error.message}', file=sys.stderr)
        return _EXIT_BY_STATUS.get(error.status, EXIT_FAILED)
    except (OSError, TimeoutError, grpclib.exceptions.StreamTerminatedError):
        print(f'{_ADDRESS.value}: no answer', file=sys.stderr)
        return EXIT_UNAVAILABLE
    except KeyboardInterrupt:
        return 0
    return 0


def run() -> None:
    """Entry point of ``jasminebeam-ctl``."""
    app.run(main)
