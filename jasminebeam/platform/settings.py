"""Settings file on the platform: native sections and ``[adapter]``."""

from __future__ import annotations

import configparser
import dataclasses
import io
import pathlib
import types
import typing

import msgspec
from returns import result

from jasminebeam import inputs
from jasminebeam import settings

SECTION = 'adapter'

# Variables of the environment by which the platform names the limits of the
# host, and the keys of the section [node] that they set unless the file does.
_HOST_LIMITS = {
    'JASMINEBEAM_MEMORY_MB': 'memory_mb',
    'JASMINEBEAM_MAX_DESCRIPTORS': 'max_descriptors',
}
_NO_ENVIRONMENT: typing.Mapping[str, str] = types.MappingProxyType({})


class AdapterSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section of the settings that only the adapter uses.

    Parameters
    ----------
    callers, readiness, announcements : str
        ``host:port`` on which the node listens for callers, for readiness
        checks and for the upstream's heartbeats.
    metrics_port : int
        Port on which metrics are served.
    upstream : str
        ``host:port`` of the upstream on the node's host.
    service : str
        Service of that upstream. Requests that enter at this node name
        this service as their caller.
    store : str
        ``host:port`` of the platform's store.
    store_timeout_ms : int
        Timeout of one call to the store.
    """

    callers: str
    readiness: str
    announcements: str
    metrics_port: settings.Port
    upstream: str
    service: str
    store: str
    store_timeout_ms: settings.Milliseconds = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Native settings of the node and the section of the adapter."""

    node: settings.Settings
    adapter: AdapterSection


def load(
    path: pathlib.Path, environment: typing.Mapping[str, str]
) -> result.Result[PlatformSettings, str]:
    """Return the settings in a file, or an error message.

    Parameters
    ----------
    path : Path
        INI file.
    environment : mapping
        Environment of the process, which names the limits of the host.
    """
    return settings.read(path).bind(lambda text: parse(text, environment))


def parse(
    text: str, environment: typing.Mapping[str, str] = _NO_ENVIRONMENT
) -> result.Result[PlatformSettings, str]:
    """Return the settings in an INI text, or an error message."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Failure(str(error).replace('\n', ' '))
    if SECTION not in parser:
        return result.Failure(f'section [{SECTION}] is missing')
    values = dict(parser[SECTION])
    try:
        adapter = msgspec.convert(values, AdapterSection, strict=False)
        callers = inputs.parse_address(adapter.callers)
        for address in (
            adapter.readiness,
            adapter.announcements,
            adapter.upstream,
            adapter.store,
        ):
            inputs.parse_address(address)
    except (msgspec.ValidationError, ValueError) as error:
        return result.Failure(f'[{SECTION}] {error}')
    parser.remove_section(SECTION)
    _add_host_limits(parser, environment)
    parser['callers'] = {
        **(dict(parser['callers']) if 'callers' in parser else {}),
        'host': callers.host,
        'port': str(callers.port),
    }
    native_sections = io.StringIO()
    parser.write(native_sections)
    return settings.parse(native_sections.getvalue()).map(
        lambda node: PlatformSettings(node, adapter)
    )


def _add_host_limits(
    parser: configparser.ConfigParser, environment: typing.Mapping[str, str]
) -> None:
    if 'node' not in parser:
        return
    for variable, key in _HOST_LIMITS.items():
        value = environment.get(variable, '')
        if value and key not in parser['node']:
            parser['node'][key] = value
