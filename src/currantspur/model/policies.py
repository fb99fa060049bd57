"""Choose targets in the model: the product's policy and two baselines."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import PlacementRequest, Target, TargetLoad
from currantspur.pipelines.placement import PlacementState, choose_target

SHIFT_CAP = 0.15
# The one service of the model.
SERVICE = 'modelled'


class Policy(ABC):
    """Choose a target for an instance and learn from answers."""

    __slots__ = ('busy_slots_by_region', 'states', 'topology')

    def __init__(self, topology: Topology, targets: list[Target]) -> None:
        self.topology = topology
        self.busy_slots_by_region: Mapping[str, Mapping[str, float]] = {}
        self.states = {one.name: TargetState(one, 0.0) for one in targets}

    @abstractmethod
    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the name of a target."""

    def measure_busy_slots(self, _at: float) -> Mapping[str, float]:
        """Return the slots that the requests of each service fill."""
        return {}

    def update_busy_slots(
        self, work: Mapping[str, Mapping[str, float]], _at: float
    ) -> None:
        """Take the work of all regions."""
        self.busy_slots_by_region = work

    def record_dispatch(self, name: str) -> None:
        """Note that a request was given to a target."""
        self.states[name].own_in_flight += 1

    def record_response(
        self, name: str, load: TargetLoad, object_key: str | None, at: float
    ) -> None:
        """Note an answer, or a rejection where there is no object."""
        state = self.states[name]
        state.own_in_flight -= 1
        state.update_load(load, at)
        if object_key is not None:
            state.record_success(at, object_key)


class LeastOutstanding(Policy):
    """Take the target with the fewest own requests, wherever it is."""

    __slots__ = ()

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the name of a target."""
        return min(
            self.states, key=lambda name: self.states[name].own_in_flight
        )


class OwnRegion(Policy):
    """Take the target of the own region with the fewest own requests."""

    __slots__ = ()

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the name of a target."""
        near = [
            name
            for name, state in self.states.items()
            if not self.topology.is_cross_region(state.target.availability_zone)
        ]
        return min(near, key=lambda name: self.states[name].own_in_flight)


class ProductPlacement(Policy):
    """Take the target that the product would take."""

    __slots__ = ('placement_state',)

    def __init__(self, topology: Topology, targets: list[Target]) -> None:
        super().__init__(topology, targets)
        self.placement_state = PlacementState(topology, shift_cap=SHIFT_CAP)
        self.placement_state.states_by_service = {
            SERVICE: list(self.states.values())
        }
        self.placement_state.plan_spill(0.0)

    def choose(self, request: PlacementRequest, at: float) -> str | None:
        """Return the name of a target."""
        chosen = choose_target(request, self.placement_state, at)
        self.placement_state.record_request(request, at)
        if chosen is None:
            return None
        shift = self.placement_state.spillover.shift_limiter(SERVICE)
        shift.record_sent(
            is_cross_region=self.placement_state.is_cross_region(chosen)
        )
        return chosen.state.target.name

    def measure_busy_slots(self, at: float) -> Mapping[str, float]:
        """Return the slots that its requests fill."""
        return self.placement_state.spillover.meter.update_rates(at)

    def update_busy_slots(
        self, work: Mapping[str, Mapping[str, float]], at: float
    ) -> None:
        """Plan what leaves the region."""
        super().update_busy_slots(work, at)
        self.placement_state.spillover.busy_slots_by_region = work
        self.placement_state.plan_spill(at)


PolicyFactory = Callable[[Topology, list[Target]], Policy]

POLICIES: Final[Mapping[str, PolicyFactory]] = MappingProxyType(
    {
        'least outstanding': LeastOutstanding,
        'own region': OwnRegion,
        'placement': ProductPlacement,
    }
)
