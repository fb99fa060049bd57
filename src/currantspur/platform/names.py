"""Hold the platform's names of headers, paths, tables and words."""

from typing import Final

from currantspur.wire.names import Names

PLATFORM_NAMES: Final = Names(
    request_id='X-Request-Id',
    # What is left of the caller's time, in milliseconds: a span, no moment.
    budget_ms='X-Request-Deadline',
    object_key='X-Affinity-Key',
    team='X-Tenant-Name',
    expected_target='X-Expect-Instance',
    load='X-Server-Load',
    # On an answer: the target did not run the request.
    not_run='X-Not-Executed',
    ready_path='/-/ready',
    directory_path='/-/resolve',
)

# What operators write: one row with the configuration, one per evacuation.
OPERATOR_TABLE: Final = 'op'
CONFIGURATION_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
# What targets write about themselves, each under its id.
TARGET_TABLE: Final = 'servers'

IDEMPOTENT: Final = 'idempotent'
READY: Final = 'ready'
DRAINING: Final = 'draining'
