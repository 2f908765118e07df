"""Validation of service definitions."""

from __future__ import annotations

import re

from returns import result

from jasminebeam.model import services

MAX_SERVICE_BYTES = 65_536
_NAME = re.compile(r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$')

_RANGES = {
    'timeout_ms': (1, 600_000),
    'retry_ratio': (0.0, 1.0),
    'hedge_ratio': (0.0, 1.0),
    'hedge_quantile': (0.5, 0.999),
    'probes_per_s': (0.0, 1_000.0),
    'probe_bytes_per_s': (0.0, 1_000_000.0),
    'probe_share': (0.0, 1.0),
    'max_ejected_ratio': (0.0, 0.9),
    'subset_size': (1, 256),
    'key_window_ms': (0, 3_600_000),
}


def check(
    service: services.Service,
) -> result.Result[services.Service, str]:
    """Return the definition, or the invalid field and the reason.

    Examples
    --------
    >>> from jasminebeam.model import services
    >>> check(services.Service('catalogo', ('camp.example',))).unwrap().name
    'catalogo'
    >>> check(services.Service('catalogo')).failure()
    'hosts: at least one host is needed'
    """
    error = _check_names(service) or _check_ranges(service)
    if error:
        return result.Failure(error)
    return result.Success(service)


def _check_names(service: services.Service) -> str:
    if not _NAME.match(service.name):
        return 'name: 1 to 63 lower-case letters, digits and hyphens'
    if not service.hosts:
        return 'hosts: at least one host is needed'
    if not all(service.hosts):
        return 'hosts: a host must not be empty'
    if not service.path_prefix.startswith('/'):
        return 'path_prefix: must begin with a slash'
    for rule in service.idempotent:
        if not rule.method or not rule.path_pattern.startswith('/'):
            return (
                'idempotent: a rule needs a method and a path pattern '
                'that begins with a slash'
            )
    if service.policy not in services.POLICIES:
        return f'policy: must be one of {", ".join(services.POLICIES)}'
    return ''


def _check_ranges(service: services.Service) -> str:
    for field, (lowest, highest) in _RANGES.items():
        value = getattr(service, field)
        # NaN is out of range as well, because it fails this comparison.
        if not lowest <= value <= highest:
            return f'{field}: must be between {lowest} and {highest}'
    return ''
