"""Narrow the targets of a service down to the one that gets a request."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.decisions.affinity import (
    WEIGHT_LIMIT,
    hash_position,
    rendezvous_weight,
)
from currantspur.decisions.cost_model import (
    Candidate,
    CostModel,
    rank_by_affinity,
)
from currantspur.decisions.spillover import SpilloverPlanner
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.token_bucket import TokenBucket
from currantspur.decisions.topology import Topology
from currantspur.decisions.work import WorkTimeEstimator
from currantspur.messages import PlacementRequest

States = Iterable[TargetState]
# What may be sent to a target that is absent, of the rate of a cold one: all
# instances try it, and their tries may come together when it is back.
ABSENT_RATE_FACTOR = 0.5
# The rate of a cold target where the configuration names none, a second.
DEFAULT_COLD_PER_S = 5.0


class PlacementState:
    """Hold what the filters read; the dispatcher owns it."""

    __slots__ = (
        'cold_rates',
        'cost_model',
        'evacuated_zones',
        'fleet_size',
        'instance',
        'spillover',
        'states_by_service',
        'topology',
        'work_times',
    )

    def __init__(
        self, topology: Topology, *, shift_cap: float, instance: str = ''
    ) -> None:
        """Take the share of requests that may change region in a window."""
        self.instance = instance
        self.topology = topology
        self.spillover = SpilloverPlanner(cap=shift_cap, region=topology.region)
        self.cost_model = CostModel(topology)
        self.states_by_service: Mapping[str, list[TargetState]] = {}
        self.cold_rates: Mapping[str, float] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.fleet_size = 1
        self.work_times: dict[str, WorkTimeEstimator] = {}

    def is_cross_region(self, candidate: Candidate) -> bool:
        """Tell whether a candidate is in another region."""
        zone = candidate.state.target.availability_zone
        return self.topology.is_cross_region(zone)

    def plan_spill(self, at: float) -> None:
        """Plan what leaves the region from all regions' work and targets."""
        for service in self.states_by_service:
            self.spillover.plan(service, self._count_slots(service, at))

    def record_request(self, request: PlacementRequest, at: float) -> None:
        """Count a request for the plans of all regions."""
        # An object takes longer where it is new, but only once.
        work_s = self.work_times_for(request).warm_work_s
        need = self.spillover.record_request(request.service, work_s, at)
        if need is not None:
            slots = self._count_slots(request.service, at)
            self.spillover.plan_from_own_load(request.service, need, slots)

    def work_times_for(self, request: PlacementRequest) -> WorkTimeEstimator:
        """Return what is known of the work of a route."""
        known = self.work_times.get(request.route.name)
        if known is None:
            known = WorkTimeEstimator(request.route)
            self.work_times[request.route.name] = known
        return known

    def _count_slots(self, service: str, at: float) -> Mapping[str, float]:
        slots = dict.fromkeys(self.topology.regions.values(), 0.0)
        usable = without_draining(self.states_by_service.get(service, ()))
        for one in without_evacuated(usable, self.evacuated_zones):
            region = self.topology.find_region(one.target.availability_zone)
            if region in slots and not one.is_cold(at):
                slots[region] += one.target.slots / one.latency_ratio(at)
        return slots


def without_draining(states: States) -> Iterator[TargetState]:
    """Leave out targets that are about to stop."""
    return (one for one in states if not one.target.is_draining)


def without_evacuated(
    states: States, evacuated: frozenset[str]
) -> Iterator[TargetState]:
    """Leave out targets of evacuated availability zones."""
    return (
        one for one in states if one.target.availability_zone not in evacuated
    )


def within_homes(
    states: States, homes: frozenset[str], topology: Topology
) -> Iterator[TargetState]:
    """Keep targets in the home regions, if there are any."""
    for one in states:
        region = topology.find_region(one.target.availability_zone)
        if not homes or region in homes:
            yield one


def without_tried(
    states: States, tried: frozenset[str]
) -> Iterator[TargetState]:
    """Leave out targets that failed this request before."""
    return (one for one in states if one.target.name not in tried)


def within_cold_rate(
    states: States, state: PlacementState, at: float
) -> Iterator[TargetState]:
    """Leave out cold targets that had their share of requests."""
    for one in states:
        if not one.is_cold(at) or cold_bucket(one, state, at).tokens >= 1:
            yield one


def cold_bucket(
    target_state: TargetState, state: PlacementState, at: float
) -> TokenBucket:
    """Return what a cold target may get from this instance."""
    total_per_s = state.cold_rates.get(target_state.target.service, 0.0)
    if target_state.is_absent:
        total_per_s = ABSENT_RATE_FACTOR * (total_per_s or DEFAULT_COLD_PER_S)
    rate_per_s = total_per_s / max(1, state.fleet_size)
    bucket = target_state.cold_bucket
    if bucket is None:
        # Buckets of different instances start with different amounts, or the
        # first requests of all instances would arrive together.
        initial_tokens = (
            rendezvous_weight(state.instance, target_state.target.name)
            / WEIGHT_LIMIT
        )
        bucket = TokenBucket(
            rate_per_s=rate_per_s, burst=1.0, at=at, tokens=initial_tokens
        )
        target_state.cold_bucket = bucket
    bucket.reconfigure(rate_per_s=rate_per_s, burst=1.0, at=at)
    return bucket


def with_load(
    states: States, request: PlacementRequest, state: PlacementState, at: float
) -> Iterator[Candidate]:
    """Estimate the load of each target."""
    return (state.cost_model.make_candidate(one, request, at) for one in states)


def with_room(candidates: Iterable[Candidate]) -> Iterator[Candidate]:
    """Leave out targets that would reject the request."""
    return (one for one in candidates if not one.is_full)


def with_costs(
    candidates: Iterable[Candidate],
    request: PlacementRequest,
    state: PlacementState,
    at: float,
) -> Iterator[Candidate]:
    """Set the cost of each target, in the order of the object."""
    times = state.work_times_for(request)
    ranked = rank_by_affinity(list(candidates), request.object_key)
    # One order in the own region and one for all others together.
    ranks: dict[bool, int] = {}
    for one in ranked:
        is_far = state.is_cross_region(one)
        rank = ranks.get(is_far, 0)
        if one.is_newcomer:
            # Objects stay where they are known until that one is busy.
            rank += 1
        elif request.object_key is not None:
            ranks[is_far] = rank + 1
        state.cost_model.set_cost(one, request, times, rank=rank, at=at)
        yield one


def find_cheapest(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate of the least cost."""
    return min(candidates, key=lambda one: one.cost, default=None)


def list_eligible(
    request: PlacementRequest, state: PlacementState
) -> Iterator[TargetState]:
    """Join the filters that say which targets may run a request at all."""
    states = iter(state.states_by_service.get(request.service, ()))
    states = without_draining(states)
    states = without_evacuated(states, state.evacuated_zones)
    states = within_homes(states, request.home_regions, state.topology)
    return without_tried(states, request.excluded_targets)


def choose_target(
    request: PlacementRequest, state: PlacementState, at: float
) -> Candidate | None:
    """Join all filters and return the cheapest target that has room."""
    states = within_cold_rate(list_eligible(request, state), state, at)
    candidates = with_room(with_load(states, request, state, at))
    known = list(with_costs(candidates, request, state, at))
    preferred = find_cheapest(known)
    if preferred is None:
        return None
    is_far = state.spillover.shift_limiter(request.service).should_cross_region(
        at,
        prefers_cross_region=state.is_cross_region(preferred),
        position=hash_position(request.object_key, request.service),
    )
    return find_cheapest(
        one for one in known if state.is_cross_region(one) is is_far
    ) or _fall_back(preferred, request, state)


def _fall_back(
    preferred: Candidate, request: PlacementRequest, state: PlacementState
) -> Candidate | None:
    """Return the preferred target unless the own region is only full."""
    has_near = any(
        not state.topology.is_cross_region(one.target.availability_zone)
        for one in list_eligible(request, state)
    )
    if has_near and state.is_cross_region(preferred):
        return None
    return preferred
