"""Policies for the model: the product's placement and two baselines.

Every `at` is in seconds of simulated time.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import (
    Assignment,
    PlacementRequest,
    Target,
    TargetLoad,
)
from currantspur.pipelines.placement import choose_target
from currantspur.pipelines.placement_state import PlacementState
from currantspur.pipelines.target_outcomes import learn_warm_capacity

# Default of the setting shift_cap (messages.limits.FleetLimits).
SHIFT_CAP = 0.15
# The model has a single service.
SERVICE = 'modelled'


class Policy(ABC):
    """Placement policy of the one instance of a region."""

    __slots__ = ('busy_slots_by_region', 'target_states', 'topology')

    def __init__(self, topology: Topology, targets: list[Target]) -> None:
        self.topology = topology
        self.busy_slots_by_region: Mapping[str, Mapping[str, float]] = {}
        self.target_states = {
            target.name: TargetState(target, 0.0) for target in targets
        }

    @abstractmethod
    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the name of the chosen target, None if there is none."""

    def measure_busy_slots(self, _at: float) -> Mapping[str, float]:
        """Return the busy slots by service; empty if not measured."""
        return {}

    def update_busy_slots(
        self,
        busy_slots_by_region: Mapping[str, Mapping[str, float]],
        _at: float,
    ) -> None:
        """Store the busy slots by region and service."""
        self.busy_slots_by_region = busy_slots_by_region

    def record_dispatch(self, name: str) -> None:
        """Count a request that is sent to a target."""
        self.target_states[name].own_in_flight += 1

    def record_response(
        self,
        name: str,
        load: TargetLoad,
        object_key: str | None,
        at: float,
        *,
        sent_at: float,
    ) -> None:
        """Record a response; object_key is None if the target rejected it."""
        state = self.target_states[name]
        state.own_in_flight -= 1
        state.update_load(load, at)
        if object_key is not None:
            state.record_success(at, object_key)


class LeastOutstanding(Policy):
    """Choose among all regions by the fewest own requests in flight."""

    __slots__ = ()

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the target with the fewest requests in flight."""
        return min(
            self.target_states,
            key=lambda name: self.target_states[name].own_in_flight,
        )


class OwnRegion(Policy):
    """Choose in the own region by the fewest own requests in flight."""

    __slots__ = ()

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the own region's target with the fewest in flight."""
        own_region_targets = [
            name
            for name, state in self.target_states.items()
            if not self.topology.is_cross_region(state.target.availability_zone)
        ]
        return min(
            own_region_targets,
            key=lambda name: self.target_states[name].own_in_flight,
        )


class ProductPlacement(Policy):
    """Choose targets with the placement and spillover of instances."""

    __slots__ = ('assignments', 'placement_state')

    def __init__(self, topology: Topology, targets: list[Target]) -> None:
        super().__init__(topology, targets)
        # By target name and time of the request.
        self.assignments: dict[tuple[str, float], Assignment] = {}
        self.placement_state = PlacementState(topology, shift_cap=SHIFT_CAP)
        self.placement_state.set_targets(
            {SERVICE: list(self.target_states.values())}
        )
        self.placement_state.plan_spillover(0.0)

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the target chosen by placement, None if there is none."""
        chosen = choose_target(request, self.placement_state, at)
        self.placement_state.record_request(request, at)
        if chosen is None:
            return None
        limiter = self.placement_state.spillover.limiter_for(SERVICE)
        limiter.record_sent(
            is_cross_region=self.placement_state.is_cross_region(chosen)
        )
        target = chosen.state.target
        self.assignments[target.name, at] = Assignment(
            request=request,
            target=target,
            assigned_at=at,
            expected_s=chosen.expected_s,
            is_warm=chosen.is_warm,
            had_free_slot=chosen.is_free,
            rank=chosen.rank,
        )
        return target.name

    def record_response(
        self,
        name: str,
        load: TargetLoad,
        object_key: str | None,
        at: float,
        *,
        sent_at: float,
    ) -> None:
        """Learn the load, the warm object and the work time."""
        assignment = self.assignments.pop((name, sent_at))
        target_state = self.target_states[name]
        if object_key is not None:
            learn_warm_capacity(
                assignment, load, target_state, self.placement_state, at
            )
        super().record_response(name, load, object_key, at, sent_at=sent_at)
        if object_key is not None:
            self.placement_state.record_latency(target_state, assignment, at)

    def measure_busy_slots(self, at: float) -> Mapping[str, float]:
        """Return the busy slots by service, as the product measures them."""
        return self.placement_state.spillover.meter.update_rates(at)

    def update_busy_slots(
        self, busy_slots_by_region: Mapping[str, Mapping[str, float]], at: float
    ) -> None:
        """Update the spillover plan with the busy slots by region."""
        super().update_busy_slots(busy_slots_by_region, at)
        self.placement_state.spillover.busy_slots_by_region = (
            busy_slots_by_region
        )
        self.placement_state.plan_spillover(at)


PolicyFactory = Callable[[Topology, list[Target]], Policy]

POLICIES: Final[Mapping[str, PolicyFactory]] = MappingProxyType(
    {
        'least outstanding': LeastOutstanding,
        'own region': OwnRegion,
        'placement': ProductPlacement,
    }
)
