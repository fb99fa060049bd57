"""Define the platform's names of headers, paths, tables and values."""

from typing import Final

from currantspur.wire.names import ProtocolNames

PLATFORM_NAMES: Final = ProtocolNames(
    request_id_header='X-Request-Id',
    # Milliseconds left of the caller's time: a duration, not a point in time.
    timeout_ms_header='X-Request-Deadline',
    object_key_header='X-Affinity-Key',
    team_header='X-Tenant-Name',
    expected_target_header='X-Expect-Instance',
    load_header='X-Server-Load',
    # Response header: the target did not run the request.
    not_run_header='X-Not-Executed',
    # Response header: `1` in all responses of a target that is about to stop.
    leaving_header='Server-Leaving',
    # Response header: the platform's proof that a target ran the request.
    proof_header='X-Server-Stamp',
    # Response header: requests per second that a target takes from the fleet.
    limit_header='Server-Limit',
    ready_path='/-/ready',
    directory_path='/-/resolve',
)

# Response header of the store: how often it came back from a copy. It then
# gives out versions again that it gave out before.
STORE_ERA_HEADER: Final = 'Store-Era'

# Written by operators: one row with the configuration, and one row per
# evacuated availability zone.
OPERATOR_TABLE: Final = 'op'
CONFIGURATION_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
# Written by targets about themselves, each row under the ID of its target.
TARGET_TABLE: Final = 'servers'

# Value of `route_kind` in a route; any other means not idempotent.
IDEMPOTENT: Final = 'idempotent'
# Values of `state` in the row of a target.
READY: Final = 'ready'
DRAINING: Final = 'draining'
