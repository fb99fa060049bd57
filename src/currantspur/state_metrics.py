"""Gauges of the state that an instance decides by, and of its age."""

from collections.abc import Mapping
from functools import partial

from currantspur.decisions.object_moves import MoveCause
from currantspur.decisions.warm_objects import MAX_WARM_OBJECTS
from currantspur.tasks import (
    AdmissionTask,
    Clock,
    Dispatcher,
    Membership,
    TableFollower,
)
from currantspur.wire.metrics import Metrics

# From this pace on the load of a machine is noticed beside the spread of work.
SLOWED_PACE = 1.3


def register_state_metrics(
    metrics: Metrics,
    *,
    clock: Clock,
    admission: AdmissionTask,
    dispatcher: Dispatcher,
    membership: Membership,
    followers: Mapping[str, TableFollower],
) -> None:
    """Register gauges, which read the state of the tasks at each scrape."""
    metrics.add_gauge(
        'configuration_version',
        'Version in force.',
        lambda: admission.state.version,
    )
    metrics.add_gauge(
        'instances',
        'Instances that take callers.',
        lambda: len(membership.live_names),
    )
    for table, follower in followers.items():
        _register_age(metrics, clock, table, follower)
    _register_targets(metrics, clock, dispatcher)
    _register_objects(metrics, dispatcher)
    _register_limits(metrics, dispatcher)


def _register_age(
    metrics: Metrics, clock: Clock, table: str, follower: TableFollower
) -> None:
    metrics.add_gauge(
        f'{table}_age_seconds',
        'Since the store itself last confirmed the rows of the table.',
        lambda: clock.now() - follower.confirmed_at,
    )


def _register_targets(
    metrics: Metrics, clock: Clock, dispatcher: Dispatcher
) -> None:
    states = dispatcher.target_states
    signals = dispatcher.placement_state.signals
    metrics.add_gauge('targets', 'Targets known.', lambda: len(states))
    metrics.add_gauge(
        'targets_absent',
        'Targets that were not there the last times.',
        lambda: sum(state.is_absent for state in states.values()),
    )
    metrics.add_gauge(
        'targets_leaving',
        'Targets that say in responses that they are leaving.',
        lambda: sum(
            signals.is_leaving(state.target) for state in states.values()
        ),
    )
    metrics.add_gauge(
        'targets_limited',
        'Targets that name a limit of requests per second in responses.',
        lambda: sum(
            signals.find_limit_per_s(state.target) is not None
            for state in states.values()
        ),
    )
    metrics.add_gauge(
        'targets_paused',
        'Targets that want no request of this instance for a time.',
        lambda: sum(
            signals.find_pause_s(state.target, clock.now()) > 0
            for state in states.values()
        ),
    )
    metrics.add_gauge(
        'targets_slowed',
        'Targets whose machines are slowed by other programs.',
        lambda: sum(
            state.pace.current(clock.now()) > SLOWED_PACE
            for state in states.values()
        ),
    )
    metrics.add_gauge(
        'target_slots',
        'Slots of all targets.',
        lambda: sum(state.target.slots for state in states.values()),
    )
    metrics.add_gauge(
        'target_requests',
        'Requests that targets run or queue, as far as is known.',
        lambda: sum(state.in_flight(clock.now()) for state in states.values()),
    )


def _register_objects(metrics: Metrics, dispatcher: Dispatcher) -> None:
    capacities = dispatcher.placement_state.warm_capacities
    metrics.add_gauge(
        'warm_objects_limit',
        'Objects that a target keeps warm, of the service with the fewest.',
        lambda: min(
            (capacity.limit for capacity in capacities.values()),
            default=MAX_WARM_OBJECTS,
        ),
    )
    moves = dispatcher.object_journal.moves
    metrics.add_gauges(
        'objects_moved',
        'Objects that changed their target, since the start.',
        label='cause',
        reads={cause: partial(moves.count, cause) for cause in MoveCause},
    )
    metrics.add_gauge(
        'fullest_target_share',
        'Largest share of objects as a multiple of what the slots are due.',
        dispatcher.object_journal.find_fullest,
    )


def _register_limits(metrics: Metrics, dispatcher: Dispatcher) -> None:
    metrics.add_gauge(
        'repeats_left',
        'Repeats that this instance may send now.',
        dispatcher.retry_budgets.count_retries_left,
    )
    metrics.add_gauge(
        'least_admitted_share',
        'Least part of the requests of any rank that is admitted.',
        dispatcher.placement_state.overload.find_least_share,
    )
    metrics.add_gauge(
        'spill_share',
        'Largest share of a service that goes to other regions.',
        dispatcher.placement_state.spillover.find_largest_share,
    )
