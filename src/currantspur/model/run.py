"""Play one scenario in virtual time and measure what callers get."""

import heapq
from collections.abc import Iterator
from itertools import count
from math import pi, sin
from random import Random

from currantspur.decisions.topology import Topology
from currantspur.messages import (
    PlacementRequest,
    Route,
    Target,
    TargetLoad,
    WeightedService,
)
from currantspur.messages.base import Message
from currantspur.model.policies import SERVICE, Policy, PolicyFactory
from currantspur.model.targets import ModelTarget

# Traffic of a region swings by this share, once in this many seconds.
TRAFFIC_SWING = 0.55
PERIOD_S = 36.0
# Instances tell each other of their work this often.
WORK_EXCHANGE_INTERVAL_S = 0.8


class Scenario(Message):
    """Describe regions, their targets and their traffic."""

    __slots__ = (
        'duration_s',
        'latency_goal_s',
        'objects',
        'requests_per_s',
        'seed',
        'slots',
        'targets',
        'work_s',
    )

    def __init__(
        self,
        *,
        targets: tuple[int, ...] = (4, 6, 2),
        requests_per_s: float = 33.0,
        slots: int = 3,
        objects: int = 25,
        work_s: float = 0.36,
        latency_goal_s: float = 0.3,
        duration_s: float = 30.0,
        seed: int = 1,
    ) -> None:
        """Take targets by region and requests a second of each region."""
        self.targets = targets
        self.requests_per_s = requests_per_s
        self.slots = slots
        self.objects = objects
        self.work_s = work_s
        self.latency_goal_s = latency_goal_s
        self.duration_s = duration_s
        self.seed = seed


class RegionResult(Message):
    """Count what the callers of a region got."""

    __slots__ = ('cross_region', 'in_goal', 'refused', 'requests')

    def __init__(self) -> None:
        self.requests = 0
        self.in_goal = 0
        self.cross_region = 0
        self.refused = 0


class Simulation:
    """Hold the targets, the policy of each region and what is under way."""

    __slots__ = (
        'ends',
        'modelled',
        'numbers',
        'outcomes',
        'policies',
        'told_at',
    )

    def __init__(self, scenario: Scenario, open_policy: PolicyFactory) -> None:
        regions = {
            f'z{number}': f'r{number}' for number, _ in _number(scenario)
        }
        targets = list(_list_targets(scenario))
        self.modelled = {one.name: ModelTarget(one) for one in targets}
        self.policies = [
            open_policy(
                Topology(availability_zone=zone, regions=regions), targets
            )
            for zone in regions
        ]
        self.outcomes = [RegionResult() for _ in regions]
        self.ends: list[tuple[float, int, Completion]] = []
        self.numbers = count()
        self.told_at = 0.0

    def apply_completions(self, at: float) -> None:
        """Let policies learn from all answers that came by then."""
        if at >= self.told_at + WORK_EXCHANGE_INTERVAL_S:
            self.told_at = at
            self._tell_work(at)
        while self.ends and self.ends[0][0] <= at:
            done_at, _, end = heapq.heappop(self.ends)
            load = _tell(self.modelled[end.target], done_at)
            end.policy.record_response(
                end.target, load, end.object_key, done_at
            )

    def serve(self, scenario: Scenario, arrival: 'SimulatedArrival') -> None:
        """Give a request to the target that its region's policy chooses."""
        policy = self.policies[arrival.region]
        outcome = self.outcomes[arrival.region]
        outcome.requests += 1
        request = _ask(scenario, arrival.object_key, arrival.at)
        name = policy.choose(request, arrival.at)
        if name is None:
            outcome.refused += 1
            return
        policy.record_dispatch(name)
        target = self.modelled[name]
        zone = target.target.availability_zone
        outcome.cross_region += policy.topology.is_cross_region(zone)
        done_at = target.submit(arrival.at, arrival.object_key, scenario.work_s)
        end = Completion(
            policy=policy, target=name, object_key=arrival.object_key
        )
        if done_at is None:
            outcome.refused += 1
            end.object_key = None
            done_at = arrival.at
        took_s = done_at + policy.topology.round_trip_s(zone) - arrival.at
        if end.object_key is not None and took_s <= scenario.latency_goal_s:
            outcome.in_goal += 1
        back_at = arrival.at + took_s
        heapq.heappush(self.ends, (back_at, next(self.numbers), end))

    def _tell_work(self, at: float) -> None:
        work = {
            policy.topology.region: policy.measure_busy_slots(at)
            for policy in self.policies
        }
        for policy in self.policies:
            policy.update_busy_slots(work, at)


class Completion(Message):
    """Hold what a policy learns at the end; no object where it was rejected."""

    __slots__ = ('object_key', 'policy', 'target')

    def __init__(
        self, *, policy: Policy, target: str, object_key: str | None
    ) -> None:
        self.policy = policy
        self.target = target
        self.object_key = object_key


class SimulatedArrival(Message):
    """Hold when and where a request came, and what it is about."""

    __slots__ = ('at', 'object_key', 'region')

    def __init__(self, *, at: float, region: int, object_key: str) -> None:
        self.at = at
        self.region = region
        self.object_key = object_key


def simulate(
    scenario: Scenario, open_policy: PolicyFactory
) -> list[RegionResult]:
    """Return the outcome of each region under a policy."""
    simulation = Simulation(scenario, open_policy)
    for arrival in _list_arrivals(scenario):
        simulation.apply_completions(arrival.at)
        simulation.serve(scenario, arrival)
    return simulation.outcomes


def _number(scenario: Scenario) -> Iterator[tuple[int, int]]:
    return enumerate(scenario.targets)


def _list_targets(scenario: Scenario) -> Iterator[Target]:
    for region, size in _number(scenario):
        for number in range(size):
            yield Target(
                name=f't{region}-{number}',
                service=SERVICE,
                address=f'10.0.{region}.{number}:1',
                availability_zone=f'z{region}',
                slots=scenario.slots,
            )


def _list_arrivals(scenario: Scenario) -> Iterator[SimulatedArrival]:
    random = Random(scenario.seed)
    regions = len(scenario.targets)
    most = scenario.requests_per_s * (1 + TRAFFIC_SWING) * regions
    at = 0.0
    while at < scenario.duration_s:
        at += random.expovariate(most)
        region = random.randrange(regions)
        phase = at / PERIOD_S + region / regions
        share = (1 + TRAFFIC_SWING * sin(2 * pi * phase)) / (1 + TRAFFIC_SWING)
        if random.random() < share:
            yield SimulatedArrival(
                at=at,
                region=region,
                object_key=f'{region}-{random.randrange(scenario.objects)}',
            )


def _ask(scenario: Scenario, object_key: str, at: float) -> PlacementRequest:
    route = Route(
        name=SERVICE,
        host='',
        path_prefix='/',
        weighted_services=(WeightedService(service=SERVICE, weight=1),),
        is_idempotent=True,
        timeout_s=scenario.latency_goal_s * 7,
        latency_goal_s=scenario.latency_goal_s,
        max_attempts=1,
    )
    return PlacementRequest(
        request_id='',
        route=route,
        service=SERVICE,
        deadline=at + route.timeout_s,
        object_key=object_key,
    )


def _tell(modelled: ModelTarget, at: float) -> TargetLoad:
    total = modelled.count(at)
    slots = modelled.target.slots
    return TargetLoad(
        running=min(total, slots), queued=max(0, total - slots), slots=slots
    )
