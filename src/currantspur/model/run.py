"""Run policies under faults, second by second of a virtual clock."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

from currantspur.decisions.policies import (
    FairnessPolicy,
    LatencyPolicy,
    LeastLoadedPolicy,
    NearestPolicy,
    Policy,
)
from currantspur.decisions.shift import Shifter
from currantspur.messages import Configuration, Steering
from currantspur.model.admit import Arriving, admit, limit_rates
from currantspur.model.experiment import Experiment
from currantspur.model.faults import FAULTS
from currantspur.model.fleet import ModelFleet
from currantspur.model.load import Load
from currantspur.model.measure import Measures, Row
from currantspur.standins.workloads import (
    WORKLOADS,
    Workload,
    describe_workload,
    name_targets,
)

CLIENT_MS = 1.0
REGION_MS = 35.0
FRESHNESS_S = 1.5
MS_PER_S = 1000.0
FULLEST = 0.95
BUSY_POWER = 4
ZONE_MS: Final = MappingProxyType({'etiqueta-clara': 5.0, 'zaytouna': 4.0})
KINDS: tuple[type[Policy], ...] = (
    FairnessPolicy,
    LatencyPolicy,
    NearestPolicy,
    LeastLoadedPolicy,
)
POLICIES: Final = MappingProxyType({kind.name: kind for kind in KINDS})


class Simulation:
    """Hold one policy's run under one fault."""

    __slots__ = (
        'configuration',
        'experiment',
        'fleet',
        'load',
        'measures',
        'policy',
        'shifter',
    )

    def __init__(
        self, experiment: Experiment, *, policy: str, fault: str
    ) -> None:
        self.experiment = experiment
        self.configuration = describe(experiment)
        self.policy = POLICIES[policy]()
        self.fleet = ModelFleet(
            self.configuration, FAULTS[fault], service_s=experiment.service_s
        )
        self.load = Load(
            shape=experiment.shape,
            seed=experiment.seed,
            zones=tuple(self.fleet.zones),
            scale=experiment.scale,
            peak=experiment.peak,
            greedy=experiment.greedy,
        )
        self.shifter = Shifter(
            policy=self.policy,
            steering=self.configuration.steering,
            freshness_s=FRESHNESS_S,
        )
        self.measures = Measures(Row(policy=policy, fault=fault))

    def run(self) -> Row:
        """Return the measures of the whole run."""
        rates = {team.name: team.rate for team in self.configuration.teams}
        for second in range(int(self.experiment.length_s)):
            at = float(second)
            wants = self.load.draw(self.configuration, at)
            self.tick(limit_rates(wants, rates), at)
        return self.measures.finish()

    def tick(self, wants: dict[str, dict[str, float]], at: float) -> None:
        """Carry one second of requests, then steer."""
        fleet = self.fleet
        arriving = fleet.spread(wants)
        ran = self._run_zones(arriving, at)
        for region, limit in fleet.limits.items():
            self._measure_region(region, limit, arriving, ran)
        self._measure_teams(wants, ran)
        loads = {
            name: sum(ran[name].values()) / zone.slots_rate
            for name, zone in fleet.zones.items()
        }
        highest = max(
            self._sum_region(region, ran) / limit
            for region, limit in fleet.limits.items()
        )
        self.measures.add_headroom(highest)
        fleet.report(wants, loads, at)
        self.steer(at)
        fleet.remember(at)

    def steer(self, at: float) -> None:
        """Take a step where the policy wants one."""
        step = self.shifter.decide(self.fleet.view(at), at=at)
        if step is not None:
            self.fleet.flows = step.flows
            self.measures.row.shift = max(self.measures.row.shift, step.shift)
        drained = self.fleet.fault.drained
        if drained:
            left = max(
                sum(flow.get(zone, 0.0) for zone in drained)
                for flow in self.fleet.flows.values()
            )
            self.measures.add_drain(left, at)

    def _run_zones(
        self, arriving: Mapping[str, Arriving], at: float
    ) -> dict[str, Arriving]:
        ran = {}
        for name, zone in self.fleet.zones.items():
            room = self.fleet.room(zone, at)
            if self.policy.is_stepped:
                room = min(room, self._allot(name, arriving))
            admitted = admit(
                arriving[name], room, fairly=self.policy.is_stepped
            )
            ran[name] = admitted
            self._measure_latency(name, admitted, self.fleet.room(zone, at))
            refused = sum(arriving[name].values()) - sum(admitted.values())
            self.measures.add_refused(refused)
        return ran

    def _allot(self, name: str, arriving: Mapping[str, Arriving]) -> float:
        region = self.fleet.zones[name].region
        total = self._sum_region(region, arriving)
        own = sum(arriving[name].values())
        limit = self.fleet.limits[region]
        return limit * own / total if total > 0 else limit

    def _sum_region(
        self, region: str, by_zone: Mapping[str, Arriving]
    ) -> float:
        return sum(
            sum(by_zone[name].values())
            for name, zone in self.fleet.zones.items()
            if zone.region == region
        )

    def _measure_region(
        self,
        region: str,
        limit: float,
        arriving: Mapping[str, Arriving],
        ran: Mapping[str, Arriving],
    ) -> None:
        self.measures.add_region(
            self._sum_region(region, arriving) / limit,
            self._sum_region(region, ran) / limit,
        )

    def _measure_teams(
        self, wants: Mapping[str, Mapping[str, float]], ran: dict[str, Arriving]
    ) -> None:
        answered: dict[str, float] = {}
        for admitted in ran.values():
            for (_, team), amount in admitted.items():
                answered[team] = answered.get(team, 0.0) + amount
        for each in self.configuration.teams:
            name = each.name
            offered = sum(wanted[name] for wanted in wants.values())
            self.measures.add_team(name, offered, answered.get(name, 0.0))

    def _measure_latency(
        self, name: str, admitted: Arriving, room: float
    ) -> None:
        total = sum(admitted.values())
        if total <= 0:
            return
        busy = min(FULLEST, total / room) ** BUSY_POWER
        service_ms = self.experiment.service_s * MS_PER_S / (1.0 - busy)
        by_origin: dict[str, float] = {}
        for (origin, _), amount in admitted.items():
            by_origin[origin] = by_origin.get(origin, 0.0) + amount
        for origin, amount in by_origin.items():
            way_ms = 2 * (CLIENT_MS + self._distance_ms(origin, name))
            self.measures.add_latency(way_ms + service_ms, amount)

    def _distance_ms(self, origin: str, name: str) -> float:
        zones = self.fleet.zones
        if origin == name:
            return 0.0
        if zones[origin].region == zones[name].region:
            return ZONE_MS[self.experiment.workload]
        return REGION_MS


def run_experiment(experiment: Experiment) -> Iterator[Row]:
    """Yield a row for each fault and policy, all with one seed."""
    for fault in experiment.faults:
        for policy in experiment.policies:
            yield simulate(experiment, policy=policy, fault=fault)


def simulate(experiment: Experiment, *, policy: str, fault: str) -> Row:
    """Return the measures of one policy under one fault."""
    return Simulation(experiment, policy=policy, fault=fault).run()


def describe(experiment: Experiment) -> Configuration:
    """Return the configuration of the workload with the limits asked for."""
    workload: Workload = WORKLOADS[experiment.workload]
    addresses = dict.fromkeys(name_targets(workload), '127.0.0.1:9')
    configuration = describe_workload(workload, addresses)
    configuration.steering = Steering(shift_cap=experiment.shift_cap)
    for region in configuration.regions:
        region.intake_rate = experiment.intake_rate
    return configuration
