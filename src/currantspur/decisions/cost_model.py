"""Estimate the cost in seconds of sending a request to each target."""

from collections.abc import Mapping

from currantspur.decisions.object_homes import order_homes
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import CROSS_REGION_RTT_S, Topology
from currantspur.decisions.work_time import WorkTimeEstimator
from currantspur.messages import PlacementRequest

# Traffic between availability zones and between regions is paid for: it counts
# as this many seconds on top of the round trip.
CROSS_ZONE_COST_S = 0.02
CROSS_REGION_COST_S = 0.1
# A target that is not warm for the object works longer, and other requests wait
# for it meanwhile: this part of its work time is added to the cost.
WARMUP_COST_FACTOR = 0.5
# Each further rank in the order of an object adds this part of the cold work
# time, so that all instances warm up the same targets for the object.
RANK_COST_FACTOR = 0.15
# Each recent failure of a target costs this many times the latency goal.
FAILURE_COST_FACTOR = 1.0
# The cost of a warm-up request to a target that joined, as a part of the warm
# work time: below 1, so that it gets one request per WARMUP_SPACING_S although
# a warm target would answer sooner.
JOINED_COST_FACTOR = 0.5
# A target probably rejects requests once it runs and queues this many per slot.
QUEUE_FACTOR = 4.0


class Candidate:
    """A target with its load and its cost for one request."""

    __slots__ = (
        'cost_s',
        'cost_terms',
        'expected_s',
        'in_flight',
        'is_newcomer',
        'is_warm',
        'rank',
        'state',
        'wait_s',
    )

    def __init__(self, state: TargetState) -> None:
        self.state = state
        self.in_flight = 0.0
        self.is_newcomer = False
        self.is_warm = False
        self.rank = 0
        self.wait_s = 0.0
        self.expected_s = 0.0
        self.cost_s = 0.0
        # Seconds by name; their sum is the cost.
        self.cost_terms: Mapping[str, float] = {}

    @property
    def is_free(self) -> bool:
        """Tell whether a slot is probably free."""
        return self.in_flight < self.state.target.slots

    @property
    def is_full(self) -> bool:
        """Tell whether it would probably reject a request."""
        return self.in_flight >= QUEUE_FACTOR * self.state.target.slots

    def add_up_cost(self, cost_terms: Mapping[str, float]) -> None:
        """Set the terms of the cost, in seconds, and their sum."""
        self.cost_terms = cost_terms
        self.cost_s = sum(cost_terms.values())


class CostModel:
    """Estimate costs as seen from the availability zone of this instance."""

    __slots__ = ('topology',)

    def __init__(self, topology: Topology) -> None:
        self.topology = topology

    def make_candidate(
        self, state: TargetState, request: PlacementRequest, at: float
    ) -> Candidate:
        """Return a candidate with its load and warmth, but no cost yet."""
        candidate = Candidate(state)
        candidate.in_flight = state.in_flight(at)
        candidate.is_warm = request.object_key in state.warm_keys
        # An object that a target is warm for is there already.
        candidate.is_newcomer = (
            state.has_joined
            and not candidate.is_warm
            and not state.joining_time.has_place(
                state.target.name, request.object_key, at
            )
        )
        return candidate

    def set_cost(
        self,
        candidate: Candidate,
        request: PlacementRequest,
        work_times: WorkTimeEstimator,
        *,
        rank: int,
        at: float,
        sends_warmups: bool,
    ) -> None:
        """Set the expected seconds to the response and the cost in seconds.

        Rank 0 is the first target in the order of the object. `sends_warmups`
        tells that this instance is one that warms up the target if it joined.
        """
        candidate.rank = rank
        state = candidate.state
        slots = state.target.slots
        latency_ratio = state.latency_ratio(at) * state.pace.current(at)
        # All instances send an object to the first target in its order. That
        # target is probably warm, even in a region to which this instance has
        # sent nothing yet. Without an object all targets but newcomers have
        # rank 0 and count as warm here.
        assumed_warm = candidate.is_warm or rank == 0
        work_s = (
            work_times.expected_work_s(is_warm=assumed_warm) * latency_ratio
        )
        queue_rounds = max(0.0, candidate.in_flight - slots + 1) / slots
        candidate.wait_s = queue_rounds * work_times.mean_work_s * latency_ratio
        round_trip_s = self.topology.round_trip_s(
            state.target.availability_zone
        )
        candidate.expected_s = round_trip_s + candidate.wait_s + work_s
        failure_cost_s = (
            state.failure_score(at)
            * FAILURE_COST_FACTOR
            * request.route.latency_goal_s
        )
        may_warm_up = candidate.is_free and round_trip_s < CROSS_REGION_RTT_S
        if sends_warmups and may_warm_up and state.needs_warmup(at):
            # A target that joined would stay cold forever without requests.
            candidate.add_up_cost(
                {
                    'joined_s': JOINED_COST_FACTOR * work_times.warm_work_s,
                    'failures_s': failure_cost_s,
                }
            )
            return
        candidate.add_up_cost(
            {
                'round_trip_s': round_trip_s,
                'wait_s': candidate.wait_s,
                'work_s': work_s,
                'warmup_s': work_s * WARMUP_COST_FACTOR * (not assumed_warm),
                'traffic_s': self._traffic_cost_s(state),
                'order_s': rank * RANK_COST_FACTOR * work_times.cold_work_s,
                'failures_s': failure_cost_s,
            }
        )

    def _traffic_cost_s(self, state: TargetState) -> float:
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
    """Return candidates in the order of an object, equal on all instances.

    Without an object their order stays.
    """
    if object_key is None:
        return candidates
    return order_homes(
        candidates, object_key, lambda candidate: candidate.state.target
    )
