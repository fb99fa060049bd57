"""Learn from how attempts at a target end."""

from currantspur.decisions.target_state import TargetState
from currantspur.messages import Assignment, TargetLoad, TargetRelease
from currantspur.pipelines.placement_state import PlacementState

# Outcomes that count as a failure of the target, and those of them that
# indicate a fault in the own region rather than an overload.
FAILURE_OUTCOMES = frozenset(
    ('erred', 'failed', 'late', 'moved', 'unreachable')
)
OWN_REGION_FAULT_OUTCOMES = frozenset(('failed', 'moved', 'unreachable'))
# Outcomes that count towards considering a target absent.
ABSENCE_OUTCOMES = frozenset(('moved', 'unreachable'))


def record_outcome(
    release: TargetRelease,
    target_state: TargetState,
    state: PlacementState,
    at: float,
) -> None:
    """Record a success, a rejection or a failure of a target."""
    if release.outcome == 'answered':
        assignment = release.assignment
        learn_warm_capacity(assignment, release.load, target_state, state, at)
        target_state.record_success(at, assignment.request.object_key)
        state.record_latency(target_state, assignment, at)
    elif release.outcome == 'shed':
        target_state.record_rejection(at)
    elif release.outcome in FAILURE_OUTCOMES:
        _record_failure(release, target_state, state, at)


def learn_warm_capacity(
    assignment: Assignment,
    load: TargetLoad | None,
    target_state: TargetState,
    state: PlacementState,
    at: float,
) -> None:
    """Learn from a response whether its target kept the object warm.

    Its success is recorded afterwards: that makes the object the newest one.
    """
    object_key = assignment.request.object_key
    had_queue = load is not None and load.queued > 0
    if object_key is None or had_queue or not assignment.had_free_slot:
        return
    warm_keys = target_state.warm_keys
    # Warmed since by another request, which was perhaps still running then.
    is_new = object_key in warm_keys and not assignment.is_warm
    age = warm_keys.find_age(object_key)
    if age is None or is_new:
        return
    work_s = state.measure_work_s(target_state, assignment, at)
    times = state.work_times_for(assignment.request)
    if times.looks_warm(work_s):
        warm_keys.capacity.record(age, was_warm=True)
    elif times.looks_cold(work_s):
        warm_keys.capacity.record(age, was_warm=False)


def _record_failure(
    release: TargetRelease,
    target_state: TargetState,
    state: PlacementState,
    at: float,
) -> None:
    if _is_region_fault(release, target_state, state, at):
        service = target_state.target.service
        state.spillover.limiter_for(service).record_fault(at)
    if release.outcome in ABSENCE_OUTCOMES:
        target_state.record_absence(at)
    else:
        target_state.record_failure(at)


def _is_region_fault(
    release: TargetRelease,
    target_state: TargetState,
    state: PlacementState,
    at: float,
) -> bool:
    # A target with a long queue also times out, returns errors and resets
    # connections: an overload must not move requests to other regions at once.
    is_own_region = not state.topology.is_cross_region(
        target_state.target.availability_zone
    )
    is_idle = target_state.in_flight(at) < target_state.target.slots
    return (
        is_own_region
        and is_idle
        and release.outcome in OWN_REGION_FAULT_OUTCOMES
    )
