"""Choose the target that answers a request soonest at the least cost."""

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import CROSS_REGION_RTT_S, Topology
from currantspur.decisions.work import WorkTimeEstimator
from currantspur.messages import PlacementRequest

# Traffic between zones and regions is paid for: as if it took this longer.
CROSS_ZONE_COST_S = 0.02
CROSS_REGION_COST_S = 0.1
# A target that is not warm works longer, and others wait for it meanwhile.
WARMUP_COST_FACTOR = 0.5
# The next target in the order of an object is this much of its work dearer,
# so that all instances warm up the same targets for an object.
RANK_COST_FACTOR = 0.15
# A recent failure costs as much as this many times the goal.
FAILURE_COST_FACTOR = 1.0
# A newcomer is cheaper than a target that is warm, once.
JOINED_COST_FACTOR = 0.5
# A target queues a few times what it runs; beyond that it rejects.
QUEUE_FACTOR = 4.0


class Candidate:
    """Hold what a target would cost a request."""

    __slots__ = ('cost', 'expected_s', 'in_flight', 'is_warm', 'state')

    def __init__(self, state: TargetState) -> None:
        self.state = state
        self.in_flight = 0.0
        self.is_warm = False
        self.expected_s = 0.0
        self.cost = 0.0

    @property
    def is_free(self) -> bool:
        """Tell whether a slot is free, as far as is known."""
        return self.in_flight < self.state.target.slots

    @property
    def is_newcomer(self) -> bool:
        """Tell whether it joined others and does not know the object yet."""
        return self.state.has_joined and not self.is_warm

    @property
    def is_full(self) -> bool:
        """Tell whether it would probably reject a request."""
        return self.in_flight >= QUEUE_FACTOR * self.state.target.slots


class CostModel:
    """Estimate costs from where this instance is."""

    __slots__ = ('topology',)

    def __init__(self, topology: Topology) -> None:
        self.topology = topology

    def make_candidate(
        self, state: TargetState, request: PlacementRequest, at: float
    ) -> Candidate:
        """Return the load of a target and whether it is warm."""
        candidate = Candidate(state)
        candidate.in_flight = state.in_flight(at)
        candidate.is_warm = request.object_key in state.warm_keys
        return candidate

    def set_cost(
        self,
        candidate: Candidate,
        request: PlacementRequest,
        times: WorkTimeEstimator,
        *,
        rank: int,
        at: float,
    ) -> None:
        """Set the expected seconds and the cost of a candidate."""
        state = candidate.state
        slots = state.target.slots
        slowness = state.latency_ratio(at)
        # All instances send an object to the first in its order, so that one is
        # probably warm, also in a region where this one sent nothing yet.
        is_warm = candidate.is_warm or rank == 0
        work_s = times.expected_work_s(is_warm=is_warm) * slowness
        turns = max(0.0, candidate.in_flight - slots + 1) / slots
        wait_s = turns * times.warm_work_s * slowness
        trip_s = self.topology.round_trip_s(state.target.availability_zone)
        candidate.expected_s = trip_s + wait_s + work_s
        trouble_s = (
            state.failure_score(at)
            * FAILURE_COST_FACTOR
            * request.route.latency_goal_s
        )
        may_warm_up = candidate.is_free and trip_s < CROSS_REGION_RTT_S
        if may_warm_up and state.needs_warmup(at):
            # A newcomer without work would stay cold for ever.
            candidate.cost = JOINED_COST_FACTOR * times.warm_work_s + trouble_s
            return
        candidate.cost = (
            candidate.expected_s
            + work_s * WARMUP_COST_FACTOR * (not is_warm)
            + self._price_of_way(state)
            + rank * RANK_COST_FACTOR * times.cold_work_s
            + trouble_s
        )

    def _price_of_way(self, state: TargetState) -> float:
        zone = state.target.availability_zone
        if zone == self.topology.availability_zone:
            return 0.0
        return (
            CROSS_REGION_COST_S
            if self.topology.is_cross_region(zone)
            else CROSS_ZONE_COST_S
        )


def rank_by_affinity(
    candidates: list[Candidate], object_key: str | None
) -> list[Candidate]:
    """Order candidates as all instances order them for an object."""
    if object_key is None:
        return candidates
    return sorted(
        candidates,
        key=lambda one: rendezvous_weight(object_key, one.state.target.name),
        reverse=True,
    )
