"""Say where each zone's callers would best be served."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

from currantspur.messages import Flows, Place, SteeringView

Matrix = dict[str, dict[str, float]]

LATENCY_FILL = 0.92
FAIRNESS_FILL = 0.88
NEARBY = 1
ANYWHERE = 2


class Policy(ABC):
    """Choose flows without regard to the cap of one step."""

    __slots__ = ()

    name: str
    is_stepped = True

    @abstractmethod
    def choose(self, view: SteeringView) -> Flows:
        """Return the share of each origin's callers by zone."""


class FillPolicy(Policy):
    """Fill zones up to a share of what they take, tier by tier."""

    __slots__ = ()

    fill: float
    first_tier: int

    def choose(self, view: SteeringView) -> Flows:
        """Serve callers in the nearest tier that has room."""
        rooms = measure_rooms(view, self.fill)
        wanted = dict(view.demands)
        moved: Matrix = {zone: {} for zone in wanted}
        for tier in range(self.first_tier, ANYWHERE + 1):
            self._fill(view, tier, rooms, wanted, moved)
        return {
            zone: share_out(flow, view.flows.get(zone, {}), view.demands[zone])
            for zone, flow in moved.items()
        }

    def _fill(
        self,
        view: SteeringView,
        tier: int,
        rooms: dict[str, float],
        wanted: dict[str, float],
        moved: Matrix,
    ) -> None:
        for group in group_origins(view.places, wanted, tier):
            zones = list_reachable(view.places, group, tier)
            room = sum(rooms[zone] for zone in zones)
            asked = sum(wanted[zone] for zone in group)
            if room <= 0 or asked <= 0:
                continue
            granted = min(1.0, room / asked)
            parts = {zone: rooms[zone] / room for zone in zones}
            for zone, part in parts.items():
                rooms[zone] -= asked * granted * part
            for origin in group:
                add_parts(moved[origin], parts, wanted[origin] * granted)
                wanted[origin] *= 1.0 - granted


class LatencyPolicy(FillPolicy):
    """Serve callers in their own zone while it has room."""

    __slots__ = ()

    name = 'latency'
    fill = LATENCY_FILL
    first_tier = 0


class FairnessPolicy(FillPolicy):
    """Pool the zones of a region, so that no team meets a full one."""

    __slots__ = ()

    name = 'fairness'
    fill = FAIRNESS_FILL
    first_tier = NEARBY


class NearestPolicy(Policy):
    """Serve callers in their own zone, always; a baseline."""

    __slots__ = ()

    name = 'nearest'
    is_stepped = False

    def choose(self, view: SteeringView) -> Flows:
        """Return the own zone of each origin."""
        return {zone: {zone: 1.0} for zone in view.demands}


class LeastLoadedPolicy(Policy):
    """Send everybody to the zone that reports the least load; a baseline."""

    __slots__ = ()

    name = 'least-loaded'
    is_stepped = False

    def choose(self, view: SteeringView) -> Flows:
        """Return the zone with the lowest reported load."""
        live = [each for each in view.places if each.health != 0]
        least = min(
            live or view.places,
            key=lambda each: view.loads.get(each.availability_zone, 0.0),
        )
        return {zone: {least.availability_zone: 1.0} for zone in view.demands}


def measure_rooms(view: SteeringView, fill: float) -> dict[str, float]:
    """Return what each zone can take; unknown health changes nothing."""
    return {
        each.availability_zone: each.capacity * each.usable() * fill
        for each in view.places
    }


def group_origins(
    places: Iterable[Place], origins: Iterable[str], tier: int
) -> list[list[str]]:
    """Group the origins that compete for the same zones in a tier."""
    regions = {each.availability_zone: each.region for each in places}
    groups: dict[str, list[str]] = {}
    for origin in origins:
        keys = (origin, regions.get(origin, ''), '')
        groups.setdefault(keys[tier], []).append(origin)
    return list(groups.values())


def list_reachable(
    places: Iterable[Place], group: list[str], tier: int
) -> list[str]:
    """List the zones that a group's origins may use in a tier."""
    if tier == 0:
        return [
            each.availability_zone
            for each in places
            if each.availability_zone in group
        ]
    regions = {
        each.region for each in places if each.availability_zone in group
    }
    return [
        each.availability_zone
        for each in places
        if tier == ANYWHERE or each.region in regions
    ]


def add_parts(
    flow: dict[str, float], parts: Mapping[str, float], amount: float
) -> None:
    """Add an amount to a flow, split by parts."""
    for zone, part in parts.items():
        flow[zone] = flow.get(zone, 0.0) + amount * part


def share_out(
    flow: Mapping[str, float], before: Mapping[str, float], demand: float
) -> dict[str, float]:
    """Return shares that sum to 1; what fits nowhere stays where it was."""
    shares = dict(before)
    if demand <= 0:
        return shares
    placed = {zone: part / demand for zone, part in flow.items() if part > 0}
    left = max(0.0, 1.0 - sum(placed.values()))
    for zone, share in shares.items():
        placed[zone] = placed.get(zone, 0.0) + share * left
    return placed
