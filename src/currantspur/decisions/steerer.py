"""Keep the flows of one instance's answers in step with the fleet."""

from collections.abc import Iterator

from currantspur.decisions.demand import DemandEstimate
from currantspur.decisions.drain_plan import kept_share, list_zones
from currantspur.decisions.policies import (
    FairnessPolicy,
    FillPolicy,
    LatencyPolicy,
)
from currantspur.decisions.shift import Shifter
from currantspur.messages import (
    Configuration,
    Decision,
    Flows,
    LoadReport,
    Place,
    SteeringView,
)

SETTLE_S = 30.0
ASSUMED_LOAD = 0.3
CHECK_S = 1.0
RETURN_S = 30.0
RETURN_START = 0.1


class Steerer:
    """Step towards the flows that members, drains and loads call for."""

    __slots__ = (
        'checked_at',
        'configuration',
        'estimates',
        'flows',
        'freshness_s',
        'kept',
        'lost',
        'returned_at',
        'shifter',
        'started_at',
        'zones',
    )

    def __init__(self, *, freshness_s: float) -> None:
        self.freshness_s = freshness_s
        self.configuration = Configuration()
        self.zones: dict[str, str] = {}
        self.estimates: dict[str, DemandEstimate] = {}
        self.flows: Flows = {}
        self.kept: dict[str, float] = {}
        self.lost: frozenset[str] = frozenset()
        self.returned_at: dict[str, float] = {}
        self.shifter = self._open_shifter()
        self.started_at: float | None = None
        self.checked_at = float('-inf')

    def configure(self, configuration: Configuration) -> None:
        """Take a version; the time of the last step stays."""
        self.checked_at = float('-inf')
        moved_at = self.shifter.moved_at
        self.configuration = configuration
        self.shifter = self._open_shifter()
        self.shifter.moved_at = moved_at
        self.zones = {
            zone: region.name
            for region in configuration.regions
            for zone in region.availability_zones
        }

    def accept(self, report: LoadReport) -> None:
        """Take a report of the demand of a zone's callers."""
        zone = report.availability_zone
        self.estimates.setdefault(zone, DemandEstimate()).accept(report)

    def replace(self, live: frozenset[str], at: float) -> None:
        """Take the zones that have instances; returned ones are ramped."""
        lost = frozenset(self.zones) - live
        for zone in self.lost - lost:
            self.returned_at[zone] = at
        self.lost = lost
        self.checked_at = float('-inf')

    def advance(self, at: float, unix_s: float) -> Decision | None:
        """Take a step if one is due; return its record."""
        if not self.zones or self.lost == frozenset(self.zones):
            return None
        if at - self.checked_at < CHECK_S:
            return None
        self.checked_at = at
        if self.started_at is None:
            self.started_at = at
        self._follow_drains(unix_s)
        view = self.view(at)
        if at - self.started_at < SETTLE_S:
            self.flows = self.shifter.policy.choose(view)
            return None
        step = self.shifter.decide(view, at=at)
        if step is None:
            return None
        self.flows = step.flows
        step.decision.at_s = unix_s
        return step.decision

    def view(self, at: float) -> SteeringView:
        """Return what is known; unreported demand is assumed."""
        flows = {
            zone: self.flows.get(zone) or {zone: 1.0} for zone in self.zones
        }
        return SteeringView(
            places=tuple(self._list_places(at)),
            demands=dict(self._list_demands()),
            loads={},
            ages={zone: self._age_s(zone, at) for zone in self.zones},
            flows=flows,
            assumed=frozenset(self.zones) - self.estimates.keys(),
        )

    def _open_shifter(self) -> Shifter:
        steering = self.configuration.steering
        policy: FillPolicy = LatencyPolicy()
        if steering.objective == 'fairness':
            policy = FairnessPolicy()
        return Shifter(
            policy=policy, steering=steering, freshness_s=self.freshness_s
        )

    def _follow_drains(self, unix_s: float) -> None:
        kept: dict[str, float] = {}
        for drain in self.configuration.drains:
            for zone in list_zones(self.configuration, drain):
                before = self.kept.get(zone, 1.0)
                share = kept_share(drain, unix_s, before=before)
                kept[zone] = min(share, kept.get(zone, 1.0))
        self.kept = kept

    def _list_places(self, at: float) -> Iterator[Place]:
        capacities = dict(self._list_capacities())
        for zone, region in self.zones.items():
            yield Place(
                availability_zone=zone,
                region=region,
                capacity=capacities[zone],
                health=0.0 if zone in self.lost else self._ramp(zone, at),
                kept=self.kept.get(zone, 1.0),
            )

    def _ramp(self, zone: str, at: float) -> float:
        returned_at = self.returned_at.get(zone)
        if returned_at is None:
            return 1.0
        return min(1.0, RETURN_START + (at - returned_at) / RETURN_S)

    def _list_capacities(self) -> Iterator[tuple[str, float]]:
        for region in self.configuration.regions:
            for zone in region.availability_zones:
                count = len(region.availability_zones)
                yield zone, region.intake_rate / count

    def _list_demands(self) -> Iterator[tuple[str, float]]:
        for zone, capacity in self._list_capacities():
            estimate = self.estimates.get(zone)
            if estimate is None:
                yield zone, capacity * ASSUMED_LOAD
            else:
                yield zone, estimate.requests_s

    def _age_s(self, zone: str, at: float) -> float:
        estimate = self.estimates.get(zone)
        return 0.0 if estimate is None else estimate.age_s(at)
