"""Conversion between service definitions and their gRPC messages."""

from __future__ import annotations

from jasminebeam.model import services
from jasminebeam.operators.generated import operators_pb2

_OPTIONAL_FIELDS = (
    'path_prefix',
    'timeout_ms',
    'retry_ratio',
    'hedge_ratio',
    'probes_per_s',
    'probe_bytes_per_s',
    'max_ejected_ratio',
    'subset_size',
    'key_window_ms',
    'probe_share',
    'policy',
    'hedge_quantile',
)


def service_from_message(message: operators_pb2.Service) -> services.Service:
    """Return the service in a message; absent fields take defaults."""
    present_fields = {
        field: getattr(message, field)
        for field in _OPTIONAL_FIELDS
        if message.HasField(field)
    }
    rules = tuple(
        services.RequestRule(rule.method, rule.path_pattern)
        for rule in message.idempotent
    )
    return services.Service(
        name=message.name,
        hosts=tuple(message.hosts),
        idempotent=rules,
        **present_fields,
    )


def service_to_message(
    service: services.Service, public: bool = False
) -> operators_pb2.Service:
    """Return the message for a service, with all fields present."""
    rules = [
        operators_pb2.RequestRule(
            method=rule.method, path_pattern=rule.path_pattern
        )
        for rule in service.idempotent
    ]
    fields = {field: getattr(service, field) for field in _OPTIONAL_FIELDS}
    return operators_pb2.Service(
        name=service.name,
        hosts=service.hosts,
        idempotent=rules,
        public=public,
        **fields,
    )


def revision_to_message(
    revision: services.ServiceRevision,
) -> operators_pb2.ServiceRevision:
    """Return the message for a service revision."""
    service = None
    if revision.service is not None:
        service = service_to_message(revision.service, revision.public is True)
    return operators_pb2.ServiceRevision(
        name=revision.name,
        revision=revision.revision,
        change_id=revision.change_id,
        service=service,
    )
