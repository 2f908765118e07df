"""Names on the platform's wire, and values that cross it."""

from __future__ import annotations

REQUEST_ID = 'Request-Id'
# Time that the caller still waits, not an instant.
TIME_LEFT = 'Deadline-Ms'
# Signature of the upstream that made the answer.
SIGNATURE = 'Server-Stamp'
# Identity that the upstream must have to run the request.
UPSTREAM_ID = 'Expect-Instance'
ANSWERING_ID = 'Instance-Id'
LOAD = 'Server-Load'
NOT_RUN = 'Not-Executed'
# Service of the upstream on the host where the request began.
CALLER = 'Caller-Service'
RETRY_AFTER = 'Retry-After'

READINESS_PATH = '/v1/ready'
HEARTBEATS_PATH = '/v1/instances/'

CONFIGURATION_KEY = 'op/config'

# Usual speed in the fourth figure of the load header.
USUAL_SPEED_PERCENT = 100
