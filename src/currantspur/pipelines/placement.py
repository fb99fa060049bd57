"""Choose the target of a request by filters over the targets of its service.

The filters are generator functions that choose_target() chains.
"""

from collections.abc import Iterable, Iterator

from currantspur.decisions.affinity import hash_position
from currantspur.decisions.cost_model import (
    Candidate,
    rank_by_affinity,
)
from currantspur.decisions.target_limits import TargetLimits
from currantspur.decisions.target_state import TargetState
from currantspur.messages import PlacementRequest
from currantspur.pipelines.placement_observer import (
    UNOBSERVED,
    PlacementObserver,
)
from currantspur.pipelines.placement_state import PlacementState
from currantspur.pipelines.target_filters import (
    TargetStates,
    within_home_regions,
    without_draining,
    without_evacuated,
    without_excluded,
)

# A response that the instance must get before it stops may take longer than
# expected, by this many times the latency goal.
STOP_MARGIN_FACTOR = 1.5


def without_tried(
    candidates: Iterable[Candidate], excluded_targets: frozenset[str]
) -> Iterator[Candidate]:
    """Leave out candidates at which an attempt of this request failed."""
    return (
        candidate
        for candidate in candidates
        if candidate.state.target.name not in excluded_targets
    )


def within_rate(
    states: TargetStates, limits: TargetLimits, at: float
) -> Iterator[TargetState]:
    """Leave out targets whose rate allows no request of this instance yet."""
    for each in states:
        share = limits.find_share(each, at)
        has_token = share is None or share.has_token()
        if has_token and not limits.is_paused(each, at):
            yield each


def with_load(
    states: TargetStates,
    request: PlacementRequest,
    state: PlacementState,
    at: float,
) -> Iterator[Candidate]:
    """Turn targets into candidates with their estimated load."""
    return (
        state.cost_model.make_candidate(each, request, at) for each in states
    )


def with_room(candidates: Iterable[Candidate]) -> Iterator[Candidate]:
    """Leave out targets that would probably reject the request."""
    return (candidate for candidate in candidates if not candidate.is_full)


def within_deadline(
    candidates: Iterable[Candidate], request: PlacementRequest, at: float
) -> Iterator[Candidate]:
    """Leave out targets that are expected to respond after the deadline.

    A first attempt may use any free slot: without attempts a wrong estimate of
    the work would never be corrected.
    """
    remaining_s = request.deadline - at
    is_first = not request.excluded_targets
    if request.must_meet_deadline:
        remaining_s -= STOP_MARGIN_FACTOR * request.route.latency_goal_s
        is_first = False
    for candidate in candidates:
        may_try = is_first and candidate.is_free
        if may_try or candidate.expected_s <= remaining_s:
            yield candidate


def with_costs(
    candidates: Iterable[Candidate],
    request: PlacementRequest,
    state: PlacementState,
    at: float,
) -> Iterator[Candidate]:
    """Set the cost of each candidate by its rank in the order of the object.

    Without an object targets that are joining have rank 1, all others rank 0.
    """
    work_times = state.work_times_for(request)
    ranked = rank_by_affinity(list(candidates), request.object_key)
    # Ranks are counted apart in the own region and in all others together.
    next_ranks: dict[bool, int] = {}
    for candidate in ranked:
        is_cross_region = state.is_cross_region(candidate)
        rank = next_ranks.get(is_cross_region, 0)
        if candidate.is_newcomer:
            # Until a joining target has its place for the object, it ranks
            # behind the next target: objects move to it one by one.
            rank += 1
        elif request.object_key is not None:
            next_ranks[is_cross_region] = rank + 1
        state.cost_model.set_cost(
            candidate,
            request,
            work_times,
            rank=rank,
            at=at,
            sends_warmups=candidate.state.needs_warmup(at)
            and state.shortlists.sends_warmups(
                candidate.state, state.spillover.region_instance_count
            ),
        )
        yield candidate


def find_cheapest(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate of least cost; None if there is no candidate."""
    return min(candidates, key=lambda candidate: candidate.cost_s, default=None)


def filter_eligible(
    states: TargetStates,
    request: PlacementRequest,
    state: PlacementState,
    observer: PlacementObserver = UNOBSERVED,
) -> TargetStates:
    """Leave out targets that may not run a request, whatever their load."""
    states = observer.watch('leaving', without_draining(states, state.signals))
    states = observer.watch(
        'evacuated_zone', without_evacuated(states, state.evacuated_zones)
    )
    return observer.watch(
        'home_region',
        within_home_regions(states, request.home_regions, state.topology),
    )


def list_eligible(
    request: PlacementRequest, state: PlacementState
) -> Iterator[TargetState]:
    """Yield all targets that may run a request, whatever their load."""
    states = state.states_by_service.get(request.service, ())
    eligible = filter_eligible(states, request, state)
    return without_excluded(eligible, request.excluded_targets)


def list_candidates(
    states: TargetStates,
    request: PlacementRequest,
    state: PlacementState,
    at: float,
    observer: PlacementObserver = UNOBSERVED,
) -> list[Candidate]:
    """Return the targets that may run a request in time, with costs."""
    eligible = filter_eligible(states, request, state, observer)
    states = observer.watch(
        'target_rate', within_rate(eligible, state.target_limits, at)
    )
    return rank_in_time(states, request, state, at, observer)


def rank_in_time(
    states: TargetStates,
    request: PlacementRequest,
    state: PlacementState,
    at: float,
    observer: PlacementObserver = UNOBSERVED,
) -> list[Candidate]:
    """Return the targets that would respond in time, with costs."""
    candidates = observer.watch(
        'full', with_room(with_load(states, request, state, at))
    )
    # Ranked before targets that failed are left out: the next target in the
    # order of the object is not warm because an attempt failed elsewhere.
    candidates = with_costs(candidates, request, state, at)
    candidates = observer.watch(
        'tried', without_tried(candidates, request.excluded_targets)
    )
    candidates = within_deadline(candidates, request, at)
    return list(observer.watch('deadline', candidates))


def expect_room_s(
    request: PlacementRequest, state: PlacementState, at: float
) -> float | None:
    """Return the seconds until a target probably has a free slot.

    Return None if no target may run the request.
    """
    shortlist = state.shortlists.find(request.service, request.object_key, at)
    everything = state.states_by_service.get(request.service, ())
    for states in (shortlist, everything):
        eligible = filter_eligible(states, request, state)
        untried = without_excluded(eligible, request.excluded_targets)
        candidates = with_load(untried, request, state, at)
        waits_s = [
            max(
                candidate.wait_s,
                state.target_limits.wait_s(candidate.state, at),
            )
            for candidate in with_costs(candidates, request, state, at)
        ]
        if waits_s:
            return min(waits_s)
    return None


def find_wanted(
    request: PlacementRequest, state: PlacementState, at: float
) -> TargetState | None:
    """Return the best target whatever the rates allow, if it names a limit."""
    shortlist = state.shortlists.find(request.service, request.object_key, at)
    if not any(map(state.target_limits.is_limited, shortlist)):
        return None
    states = filter_eligible(shortlist, request, state)
    wanted = find_cheapest(rank_in_time(states, request, state, at))
    if wanted is None or not state.target_limits.is_limited(wanted.state):
        return None
    return wanted.state


def choose_target(
    request: PlacementRequest,
    state: PlacementState,
    at: float,
    observer: PlacementObserver = UNOBSERVED,
) -> Candidate | None:
    """Return the cheapest target that has room and that the limiter allows.

    The region shift limiter decides whether it is a target of the own region or
    of another. Return None if no target has room, or only targets elsewhere
    that the limiter does not allow.
    """
    shortlist = state.shortlists.find(request.service, request.object_key, at)
    observer.begin_pass('shortlist', shortlist)
    candidates = list_candidates(shortlist, request, state, at, observer)
    chosen = _choose_within_limit(candidates, request, state, at, observer)
    everything = state.states_by_service.get(request.service, ())
    if chosen is None and len(shortlist) < len(everything):
        # Also if only targets elsewhere have room, which the limiter does not
        # allow: others of the own region may have some.
        observer.begin_pass('service', everything)
        candidates = list_candidates(everything, request, state, at, observer)
        chosen = _choose_within_limit(candidates, request, state, at, observer)
    return chosen


def _choose_within_limit(
    candidates: list[Candidate],
    request: PlacementRequest,
    state: PlacementState,
    at: float,
    observer: PlacementObserver,
) -> Candidate | None:
    preferred = find_cheapest(candidates)
    if preferred is None:
        return None
    is_cross_region = state.spillover.limiter_for(
        request.service
    ).should_cross_region(
        at,
        prefers_cross_region=state.is_cross_region(preferred),
        position=hash_position(request.object_key, request.service),
    )
    observer.record_shift(preferred, is_cross_region=is_cross_region)
    return find_cheapest(
        candidate
        for candidate in candidates
        if state.is_cross_region(candidate) is is_cross_region
    ) or _fall_back(preferred, request, state)


def _fall_back(
    preferred: Candidate, request: PlacementRequest, state: PlacementState
) -> Candidate | None:
    """Return the preferred target, or None if it would bypass the limiter.

    A request may not leave the own region just because its targets are full.
    """
    has_own_region_target = any(
        not state.topology.is_cross_region(each.target.availability_zone)
        for each in list_eligible(request, state)
    )
    if has_own_region_target and state.is_cross_region(preferred):
        return None
    return preferred
