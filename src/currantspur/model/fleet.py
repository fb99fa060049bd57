"""Hold the state of the modelled fleet at one moment."""

from collections import deque
from collections.abc import Mapping
from itertools import repeat

from currantspur.decisions.demand import DemandEstimate
from currantspur.decisions.drain_plan import kept_share
from currantspur.messages import (
    Configuration,
    Drain,
    Flows,
    LoadReport,
    Place,
    SteeringView,
)
from currantspur.model.admit import Arriving, Wants
from currantspur.model.faults import FAULT_END_S, FAULT_START_S, Fault

LAG_S = 5
FAULT_LAG_S = 15
REPORTED_LIE = 0.1
DRAIN_PACE = 0.02
STOP_S = FAULT_START_S + 100.0
WEAK_ZONE = 'north-1'


class Zone:
    """Hold one availability zone: what it can take and what it reports."""

    __slots__ = ('estimate', 'name', 'region', 'reports', 'slots_rate')

    def __init__(self, *, name: str, region: str, slots_rate: float) -> None:
        """Take the requests a second that the targets' slots can run."""
        self.name = name
        self.region = region
        self.slots_rate = slots_rate
        self.estimate = DemandEstimate()
        self.reports: deque[LoadReport] = deque()

    def deliver(self, until: float) -> None:
        """Pass on the reports that are old enough to have arrived."""
        while self.reports and self.reports[0].at <= until:
            self.estimate.accept(self.reports.popleft())


class ModelFleet:
    """Hold zones, flows and what callers have cached."""

    __slots__ = ('cached', 'configuration', 'fault', 'flows', 'limits', 'zones')

    def __init__(
        self, configuration: Configuration, fault: Fault, *, service_s: float
    ) -> None:
        self.configuration = configuration
        self.fault = fault
        self.zones = {
            name: Zone(
                name=name,
                region=region.name,
                slots_rate=sum(
                    target.slots / service_s
                    for target in configuration.targets
                    if target.availability_zone == name
                ),
            )
            for region in configuration.regions
            for name in region.availability_zones
        }
        self.limits = {
            region.name: region.intake_rate for region in configuration.regions
        }
        self.flows: Flows = {name: {name: 1.0} for name in self.zones}
        kept = int(configuration.steering.cache_s)
        self.cached: deque[Flows] = deque(repeat(self.flows, kept), maxlen=kept)

    def is_failing(self, at: float) -> bool:
        """Tell whether the fault is present."""
        return FAULT_START_S <= at < FAULT_END_S

    def is_lost(self, zone: str, at: float) -> bool:
        """Tell whether a zone is cut off or dead."""
        if zone in self.fault.drained and at >= STOP_S:
            return True
        return zone in self.fault.lost_zones and self.is_failing(at)

    def room(self, zone: Zone, at: float) -> float:
        """Return the requests a second that a zone's targets can run."""
        if self.is_lost(zone.name, at):
            return 0.0
        if zone.name == WEAK_ZONE and self.is_failing(at):
            return (
                zone.slots_rate * self.fault.target_share / self.fault.slowness
            )
        return zone.slots_rate

    def remember(self, at: float) -> None:
        """Let a second's worth of callers renew what they cached."""
        self.cached.append(self.flows)
        if self.fault.caches_lost and at == FAULT_START_S:
            self.cached.extend(repeat(self.flows, len(self.cached)))

    def spread(self, wants: Wants) -> dict[str, Arriving]:
        """Return what arrives at each zone by origin and team."""
        arriving: dict[str, Arriving] = {zone: {} for zone in self.zones}
        for origin, by_team in wants.items():
            for zone, share in self.share_callers(origin).items():
                for team, rate in by_team.items():
                    arriving[zone][origin, team] = rate * share
        return arriving

    def share_callers(self, origin: str) -> dict[str, float]:
        """Return the share of an origin's callers by what they cached."""
        part = 1.0 / len(self.cached)
        shares: dict[str, float] = {}
        for flows in self.cached:
            for zone, share in flows[origin].items():
                shares[zone] = shares.get(zone, 0.0) + share * part
        return shares

    def report(
        self,
        wants: Wants,
        loads: Mapping[str, float],
        at: float,
    ) -> None:
        """Let each zone report, as the fault allows."""
        failing = self.is_failing(at)
        kind = self.fault.reports if failing else 'good'
        lag = FAULT_LAG_S if kind == 'lagging' else LAG_S
        for zone in self.zones.values():
            lie = REPORTED_LIE if kind == 'lying' else 1.0
            zone.reports.append(
                LoadReport(
                    availability_zone=zone.name,
                    requests_s=sum(wants[zone.name].values()) * lie,
                    load=loads[zone.name] * lie,
                    sequence=int(at),
                    at=at,
                )
            )
            if kind in {'missing', 'frozen'}:
                zone.reports.pop()
            zone.deliver(at - lag)

    def view(self, at: float) -> SteeringView:
        """Return what a steering decision can know."""
        return SteeringView(
            places=tuple(self._place(zone, at) for zone in self.zones.values()),
            demands={
                name: zone.estimate.requests_s
                for name, zone in self.zones.items()
            },
            loads={
                name: zone.estimate.load for name, zone in self.zones.items()
            },
            ages={
                name: zone.estimate.age_s(at)
                for name, zone in self.zones.items()
            },
            flows=self.flows,
        )

    def _place(self, zone: Zone, at: float) -> Place:
        region = [name for name in self.zones if self._is_beside(name, zone)]
        limit = self.limits[zone.region] / len(region)
        return Place(
            availability_zone=zone.name,
            region=zone.region,
            capacity=min(limit, zone.slots_rate),
            health=self._judge(zone, at),
            kept=self._kept(zone.name, at),
        )

    def _is_beside(self, name: str, zone: Zone) -> bool:
        return self.zones[name].region == zone.region

    def _judge(self, zone: Zone, at: float) -> float:
        seen_at = at - LAG_S
        return self.room(zone, seen_at) / zone.slots_rate

    def _kept(self, name: str, at: float) -> float:
        if name not in self.fault.drained:
            return 1.0
        drain = Drain(
            drain_id='drain-1',
            scope='availability_zone',
            name=name,
            start_s=FAULT_START_S,
            pace=DRAIN_PACE,
        )
        return kept_share(drain, at)
