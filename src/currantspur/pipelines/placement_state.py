"""The state that the filters of placement read."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.cost_model import (
    Candidate,
    CostModel,
)
from currantspur.decisions.overload import AdmittedShares, OverloadTable
from currantspur.decisions.ranks import RankDemand
from currantspur.decisions.shortlist import TargetShortlists
from currantspur.decisions.spillover import SpilloverPlanner
from currantspur.decisions.target_limits import TargetLimits
from currantspur.decisions.target_signals import SignalTable
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.decisions.warm_objects import WarmCapacity
from currantspur.decisions.work_time import WorkTimeEstimator
from currantspur.messages import Assignment, PlacementRequest
from currantspur.pipelines.target_filters import (
    without_draining,
    without_evacuated,
)

# Lower bound of measured work, as the subtracted round trip is only an estimate
# and may exceed the duration.
MIN_WORK_S = 0.001


class PlacementState:
    """The state that the placement filters read; the dispatcher owns it."""

    __slots__ = (
        'cost_model',
        'evacuated_zones',
        'instance_name',
        'overload',
        'rank_demand',
        'shortlists',
        'signals',
        'spillover',
        'states_by_service',
        'target_limits',
        'topology',
        'warm_capacities',
        'work_s_by_service',
        'work_times',
    )

    def __init__(
        self, topology: Topology, *, shift_cap: float, instance_name: str = ''
    ) -> None:
        """Start without targets.

        The cap is the share of requests that may shift to another region from
        one window to the next. `instance_name` names this instance.
        """
        self.instance_name = instance_name
        self.topology = topology
        self.spillover = SpilloverPlanner(
            shift_cap=shift_cap, region=topology.region
        )
        # Like the meter of the planner, it first spans from time 0.
        self.rank_demand = RankDemand(0.0)
        self.overload = OverloadTable()
        self.cost_model = CostModel(topology)
        self.shortlists = TargetShortlists(topology, instance_name)
        self.signals = SignalTable()
        self.target_limits = TargetLimits(topology, self.signals, instance_name)
        self.states_by_service: Mapping[str, list[TargetState]] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        # By service: how many objects its targets keep warm.
        self.warm_capacities: dict[str, WarmCapacity] = {}
        # By name of the route.
        self.work_times: dict[str, WorkTimeEstimator] = {}
        # Mean seconds of work of the newest request, by service.
        self.work_s_by_service: dict[str, float] = {}

    def set_targets(
        self, states_by_service: Mapping[str, list[TargetState]]
    ) -> None:
        """Replace the targets of all services."""
        self.states_by_service = states_by_service
        for service, states in states_by_service.items():
            capacity = self.warm_capacities.setdefault(service, WarmCapacity())
            cold_per_s = self.target_limits.cold_per_s_by_service
            for each in states:
                each.warm_keys.capacity = capacity
                each.joining_time.set_cold_rate(cold_per_s.get(service, 0.0))
        self.shortlists.update(states_by_service)

    def is_cross_region(self, candidate: Candidate) -> bool:
        """Tell whether a candidate is in another region than this instance."""
        zone = candidate.state.target.availability_zone
        return self.topology.is_cross_region(zone)

    def plan_spillover(self, at: float) -> None:
        """Plan each service's share from the load and slots of all regions."""
        for service in self.states_by_service:
            self.spillover.plan(service, self._sum_effective_slots(service, at))

    def record_request(self, request: PlacementRequest, at: float) -> None:
        """Count a request in the load from which all regions plan."""
        work_s = self.work_times_for(request).mean_work_s
        self.work_s_by_service[request.service] = work_s
        self.rank_demand.count(request.service, request.rank, work_s)
        busy_slots = self.spillover.record_request(request.service, work_s, at)
        if busy_slots is not None:
            slots = self._sum_effective_slots(request.service, at)
            self.spillover.plan_from_own_load(
                request.service, busy_slots, slots
            )

    def record_latency(
        self, target_state: TargetState, assignment: Assignment, at: float
    ) -> None:
        """Learn the work time from a response without time in a queue."""
        if not assignment.had_free_slot:
            return
        work_s = self.measure_work_s(target_state, assignment, at)
        times = self.work_times_for(assignment.request)
        # Requests of another instance may have warmed the target.
        is_warm = assignment.is_warm or times.looks_warm(work_s)
        expected_s = times.expected_work_s(is_warm=is_warm)
        times.update(work_s, is_warm=is_warm)
        target_state.record_latency_ratio(work_s / expected_s, at)

    def measure_work_s(
        self, target_state: TargetState, assignment: Assignment, at: float
    ) -> float:
        """Return the work time of a response without time in a queue."""
        zone = assignment.target.availability_zone
        round_trip_s = self.topology.round_trip_s(zone)
        # The load of the machine must not change what is learned of the work.
        return max(
            MIN_WORK_S,
            (at - assignment.assigned_at - round_trip_s)
            / target_state.pace.current(at),
        )

    def update_overload(
        self, busy_slots_by_rank: Mapping[str, float], at: float
    ) -> Iterator[AdmittedShares]:
        """Compute the admitted shares; yield those that changed much."""
        ranks_by_service = self.rank_demand.ranks_by_service
        return self.overload.update(
            ranks_by_service,
            busy_slots_by_rank,
            {
                service: self._sum_usable_slots(service, at)
                for service in ranks_by_service
            },
        )

    def work_times_for(self, request: PlacementRequest) -> WorkTimeEstimator:
        """Return the estimator of the request's route, a new one if needed."""
        estimator = self.work_times.get(request.route.name)
        if estimator is None:
            estimator = WorkTimeEstimator(request.route)
            self.work_times[request.route.name] = estimator
        return estimator

    def _sum_usable_slots(self, service: str, at: float) -> float:
        """Return the slots of a service's targets, cold ones included.

        Cold targets run requests, too; without them nobody would be admitted
        while all targets are cold. A target that is n times slower counts as
        1/n of its slots.
        """
        usable = without_draining(
            self.states_by_service.get(service, ()), self.signals
        )
        return sum(
            each.target.slots / each.latency_ratio(at)
            for each in without_evacuated(usable, self.evacuated_zones)
        )

    def _sum_effective_slots(
        self, service: str, at: float
    ) -> Mapping[str, float]:
        """Return the slots of a service's targets by region, without cold ones.

        A target that is n times slower counts as 1/n of its slots, and one that
        names a limit as the slots which that rate keeps busy. Zones whose
        region is not in the settings are left out.
        """
        work_s = self.work_s_by_service.get(service)
        slots = dict.fromkeys(self.topology.region_by_zone.values(), 0.0)
        usable = without_draining(
            self.states_by_service.get(service, ()), self.signals
        )
        for each in without_evacuated(usable, self.evacuated_zones):
            region = self.topology.find_region(each.target.availability_zone)
            if region in slots and not each.is_cold(at):
                effective = each.target.slots / each.latency_ratio(at)
                limit_per_s = self.signals.find_limit_per_s(each.target)
                if limit_per_s is not None and work_s is not None:
                    effective = min(effective, limit_per_s * work_s)
                slots[region] += effective
        return slots
