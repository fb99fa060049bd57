"""Hold the platform's names of headers, paths, tables and words."""

from typing import Final

from currantspur.wire.names import ProtocolNames

PLATFORM_NAMES: Final = ProtocolNames(
    request_id_header='X-Request-Id',
    # What is left of the caller's time, in milliseconds: a span, no moment.
    timeout_ms_header='X-Request-Deadline',
    object_key_header='X-Affinity-Key',
    team_header='X-Tenant-Name',
    expected_target_header='X-Expect-Instance',
    load_header='X-Server-Load',
    # On an answer: the target did not run the request.
    not_run_header='X-Not-Executed',
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
