"""Headers, paths and keys of the platform's protocol."""

from __future__ import annotations

REQUEST_ID = 'Request-Id'
# Remaining time in ms for which the caller waits, not a point in time.
TIME_LEFT = 'Deadline-Ms'
# Signature of the upstream that sent the answer.
SIGNATURE = 'Server-Stamp'
# Identity of the only upstream that may run the request.
EXPECTED_ID = 'Expect-Instance'
# Identity of the upstream that answers a health check.
ANSWERING_ID = 'Instance-Id'
# Running requests, waiting requests, slots and slowness in percent.
LOAD = 'Server-Load'
# Requests per second that the upstream takes from all nodes together.
LIMIT = 'Server-Limit'
# "1" in each answer of an upstream that is about to stop.
LEAVING = 'Server-Leaving'
# Time in ms for which the upstream stays cold, in answers to health checks.
COLD = 'Cold-Ms'
# Marks an answer to a request that did not run.
NOT_RUN = 'Not-Executed'
# Service of the upstream on the host where the request enters.
CALLER = 'Caller-Service'
# Team whose key the request carries.
TEAM = 'Tenant-Id'
RETRY_AFTER = 'Retry-After'

READINESS_PATH = '/v1/ready'
HEARTBEATS_PATH = '/v1/instances/'

# Operators' keys; one watch with this prefix covers all of them.
OPERATORS_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
# The name of the evacuated failure domain follows.
EVACUATIONS_PREFIX = 'op/evacuate/'

# Fourth value of the load header at normal speed; a slow host reports more.
NORMAL_SLOWNESS_PERCENT = 100
