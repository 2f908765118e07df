"""Settings of a node, read from an INI file and checked."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib
import typing

import msgspec
from returns import result

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r'^[\w.:-]+$')
]

# CURVE key in Z85 (40 characters), or empty.
CurveKey = typing.Annotated[str, msgspec.Meta(pattern=r'^(|.{40})$')]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the sections of the settings file."""


class NodeSection(_Section):
    """Identity and location of the node.

    Parameters
    ----------
    node_id : str
        Unique name of the node.
    host : str
        IP address on which peers, callers and operators reach the node.
    failure_domain, region : str
        Location of the host.
    stop_timeout_ms : int
        Maximum time that a graceful stop waits for requests in progress.
    memory_mb : int
        Memory of the host in units of 10^6 bytes; 0 if unknown.
    max_descriptors : int
        Descriptors that the process may open; 0 for the limit of the
        operating system.
    """

    node_id: Name
    host: str = '127.0.0.1'
    failure_domain: Name = 'default'
    region: Name = 'default'
    stop_timeout_ms: Milliseconds = 60_000
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=10_000_000)] = 0
    max_descriptors: typing.Annotated[
        int, msgspec.Meta(ge=0, le=10_000_000)
    ] = 0


class CallersSection(_Section):
    """HTTP server for callers.

    Parameters
    ----------
    port : int
        Port of the HTTP server.
    host : str
        IP address of the HTTP server; empty for the host of the node.
    stop_grace_ms : int
        Time for which a stopping node still accepts new requests, so that
        callers can switch to other nodes.
    max_body_bytes : int
        Maximum size of a request body.
    """

    port: Port
    host: str = ''
    stop_grace_ms: Milliseconds = 1_000
    max_body_bytes: typing.Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = (
        262_144
    )


class PeeringSection(_Section):
    """Connections between nodes.

    Parameters
    ----------
    port : int
        Port of the peer socket.
    advertise_address : str
        ``host:port`` that peers connect to; empty for the host of the
        node and ``port``.
    seeds : str
        Addresses (``host:port``) of peers through which the node joins,
        separated by spaces. The node adds the seeds that the store lists,
        so these are needed only if the store does not answer.
    tick_ms : int
        Time between two checks of a connection in use; a connection
        counts as lost after five checks without an answer.
    control_bytes_per_s : int
        Maximum rate of the control messages that the node sends.
    public_key, secret_key, server_key : str
        CURVE keys in Z85; all empty for unencrypted connections.
    allowed_keys : str
        Public keys that may connect, separated by spaces.
    """

    port: Port
    advertise_address: str = ''
    seeds: str = ''
    tick_ms: typing.Annotated[int, msgspec.Meta(ge=10, le=10_000)] = 100
    control_bytes_per_s: typing.Annotated[
        int, msgspec.Meta(ge=1_000, le=10_000_000)
    ] = 12_000
    public_key: CurveKey = ''
    secret_key: CurveKey = ''
    server_key: CurveKey = ''
    allowed_keys: str = ''


class RoutingSection(_Section):
    """Choice of an upstream for each request.

    Parameters
    ----------
    choices : int
        Number of upstreams that the policy ``least_cost`` compares.
    other_domain_ms : int
        Additional time that a request may wait in the node's failure
        domain before another failure domain is preferred.
    """

    choices: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 2
    other_domain_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 0


class UpstreamSection(_Section):
    """The upstream for which the node is the sidecar.

    Parameters
    ----------
    announce_port : int
        Loopback port on which the upstream announces itself, and on
        which metrics are served.
    queue_ratio : float
        Maximum length of the queue as a multiple of the upstream's slots.
    usable_ratio : float
        Maximum share of the upstream's slots that the sidecar uses.
    max_answer_bytes : int
        Maximum size of an answer body.
    load_interval_ms : int
        Time between two reads of the upstream's load report.
    limit_burst_ms : int
        If the upstream names a rate limit, the requests of this time may be
        sent at once after a pause.
    limit_hold_ms : int
        Time for which a rate limit stays in force after the last answer
        that names it.
    """

    announce_port: Port = 7002
    queue_ratio: typing.Annotated[float, msgspec.Meta(ge=0, le=100)] = 4.0
    usable_ratio: typing.Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    max_answer_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1, le=1_048_576)
    ] = 1_048_576
    load_interval_ms: Milliseconds = 1_000
    limit_burst_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 500
    limit_hold_ms: Milliseconds = 3_000


class OperatorsSection(_Section):
    """gRPC server for operators.

    Parameters
    ----------
    port : int
        Port of the gRPC server.
    tls_certificate, tls_key, tls_client_ca : str
        Paths of PEM files; all empty for unencrypted connections.
    """

    port: Port = 7003
    tls_certificate: str = ''
    tls_key: str = ''
    tls_client_ca: str = ''


class PlatformSection(_Section):
    """Key-value store that holds the configuration.

    Parameters
    ----------
    endpoint : str
        Base URL of the store's JSON interface; empty if there is none.
    timeout_ms : int
        Maximum time of one call to the store.
    relays_per_domain : int
        Number of nodes of a failure domain that watch the store.
    lease_s : int
        Time to live of a relay's lease.
    """

    endpoint: str = ''
    timeout_ms: Milliseconds = 1_000
    relays_per_domain: typing.Annotated[int, msgspec.Meta(ge=1, le=8)] = 2
    lease_s: typing.Annotated[int, msgspec.Meta(ge=2, le=600)] = 10


class TelemetrySection(_Section):
    """Log output.

    Parameters
    ----------
    log_format : str
        ``text`` or ``json``.
    log_level : str
        Lowest level of the events that are written.
    """

    log_format: typing.Literal['text', 'json'] = 'text'
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All sections of a node's settings."""

    node: NodeSection
    callers: CallersSection
    peering: PeeringSection
    routing: RoutingSection
    upstream: UpstreamSection
    operators: OperatorsSection
    platform: PlatformSection
    telemetry: TelemetrySection


SECTIONS: dict[str, type[_Section]] = {
    'node': NodeSection,
    'callers': CallersSection,
    'peering': PeeringSection,
    'routing': RoutingSection,
    'upstream': UpstreamSection,
    'operators': OperatorsSection,
    'platform': PlatformSection,
    'telemetry': TelemetrySection,
}


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Return the settings of a file, or a message about the first error."""
    return read(path).bind(parse)


def read(path: pathlib.Path) -> result.Result[str, str]:
    """Return the text of a settings file, or an error message."""
    try:
        return result.Success(path.read_text())
    except OSError as error:
        return result.Failure(f'{path}: {error.strerror}')


def parse(text: str) -> result.Result[Settings, str]:
    """Return the settings of an INI text, or a message about its error.

    Examples
    --------
    >>> parse('[node]').failure()
    '[node] Object missing required field `node_id`'
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Failure(str(error).replace('\n', ' '))
    unknown = set(parser.sections()) - set(SECTIONS)
    if unknown:
        return result.Failure(f'unknown section [{min(unknown)}]')
    sections = {}
    for name, section_type in SECTIONS.items():
        values = dict(parser[name]) if name in parser else {}
        try:
            sections[name] = msgspec.convert(
                values, section_type, strict=False
            )
        except msgspec.ValidationError as error:
            return result.Failure(f'[{name}] {_describe_error(error)}')
    return _check_dependent_keys(Settings(**sections))


def _describe_error(error: msgspec.ValidationError) -> str:
    text, _, path = str(error).partition(' - at ')
    key = path.strip('`').removeprefix('$.')
    return f'{key}: {text}' if key else text


def _check_dependent_keys(settings: Settings) -> result.Result[Settings, str]:
    peering = settings.peering
    keys = (peering.public_key, peering.secret_key, peering.server_key)
    if any(keys) and not all(keys):
        return result.Failure(
            '[peering] public_key, secret_key and server_key must be set '
            'together'
        )
    operators = settings.operators
    files = (
        operators.tls_certificate,
        operators.tls_key,
        operators.tls_client_ca,
    )
    if any(files) and not all(files):
        return result.Failure(
            '[operators] tls_certificate, tls_key and tls_client_ca '
            'must be set together'
        )
    return result.Success(settings)
