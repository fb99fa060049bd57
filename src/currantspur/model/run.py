"""Simulate a scenario in virtual time and count results by region.

Every `at` is in seconds of simulated time.
"""

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

# The request rate of a region follows a sine around its mean, with this
# amplitude as a share of the mean and this period.
TRAFFIC_SWING = 0.55
TRAFFIC_PERIOD_S = 36.0
# Interval at which instances exchange their busy slots: that of heartbeats
# (tasks.membership.HEARTBEAT_INTERVAL_S).
EXCHANGE_INTERVAL_S = 0.8


class Scenario(Message):
    """Regions with their targets and traffic."""

    __slots__ = (
        'duration_s',
        'latency_goal_s',
        'object_count',
        'requests_per_s',
        'seed',
        'slots_per_target',
        'targets_by_region',
        'uncached_work_s',
    )

    def __init__(
        self,
        *,
        targets_by_region: tuple[int, ...] = (4, 6, 2),
        requests_per_s: float = 33.0,
        slots_per_target: int = 3,
        object_count: int = 25,
        uncached_work_s: float = 0.36,
        latency_goal_s: float = 0.3,
        duration_s: float = 30.0,
        seed: int = 1,
    ) -> None:
        """Create a scenario.

        targets_by_region holds the number of targets of each region,
        requests_per_s is the mean rate of each region and object_count the
        number of different objects in each region. uncached_work_s is the
        work in seconds for an object that the target has not cached.
        """
        self.targets_by_region = targets_by_region
        self.requests_per_s = requests_per_s
        self.slots_per_target = slots_per_target
        self.object_count = object_count
        self.uncached_work_s = uncached_work_s
        self.latency_goal_s = latency_goal_s
        self.duration_s = duration_s
        self.seed = seed


class RegionResult(Message):
    """Counts of the requests that callers of a region sent.

    ``cross_region`` counts those sent to other regions, also if the target
    rejected them; ``refused`` those rejected or without a target.
    """

    __slots__ = ('cross_region', 'refused', 'requests', 'within_goal')

    def __init__(self) -> None:
        self.requests = 0
        self.within_goal = 0
        self.cross_region = 0
        self.refused = 0


class Simulation:
    """State of a simulation: targets, policies and requests in flight."""

    __slots__ = (
        'busy_slots_exchanged_at',
        'completions',
        'model_targets',
        'policies',
        'results',
        'tie_breakers',
    )

    def __init__(self, scenario: Scenario, make_policy: PolicyFactory) -> None:
        regions = {
            f'z{number}': f'r{number}'
            for number, _ in _enumerate_regions(scenario)
        }
        targets = list(_list_targets(scenario))
        self.model_targets = {
            target.name: ModelTarget(target) for target in targets
        }
        self.policies = [
            make_policy(
                Topology(availability_zone=zone, region_by_zone=regions),
                targets,
            )
            for zone in regions
        ]
        self.results = [RegionResult() for _ in regions]
        # Heap of (time of receipt, tie breaker, completion).
        self.completions: list[tuple[float, int, Completion]] = []
        self.tie_breakers = count()
        self.busy_slots_exchanged_at = 0.0

    def apply_completions(self, at: float) -> None:
        """Report all responses received up to a time to their policies.

        First exchange busy slots if the interval has passed.
        """
        if at >= self.busy_slots_exchanged_at + EXCHANGE_INTERVAL_S:
            self.busy_slots_exchanged_at = at
            self._exchange_busy_slots(at)
        while self.completions and self.completions[0][0] <= at:
            received_at, _, completion = heapq.heappop(self.completions)
            load = _measure_load(
                self.model_targets[completion.target], received_at
            )
            completion.policy.record_response(
                completion.target,
                load,
                completion.object_key,
                received_at,
                sent_at=completion.sent_at,
            )

    def serve(self, scenario: Scenario, arrival: 'SimulatedArrival') -> None:
        """Submit a request to the target that its region's policy chooses.

        Count it as refused if there is no target or the target rejects it.
        """
        policy = self.policies[arrival.region]
        result = self.results[arrival.region]
        result.requests += 1
        request = _make_request(scenario, arrival.object_key, arrival.at)
        name = policy.choose(request, arrival.at)
        if name is None:
            result.refused += 1
            return
        policy.record_dispatch(name)
        model_target = self.model_targets[name]
        zone = model_target.target.availability_zone
        result.cross_region += policy.topology.is_cross_region(zone)
        finish_at = model_target.submit(
            arrival.at, arrival.object_key, scenario.uncached_work_s
        )
        completion = Completion(
            policy=policy,
            target=name,
            object_key=arrival.object_key,
            sent_at=arrival.at,
        )
        if finish_at is None:
            result.refused += 1
            completion.object_key = None
            finish_at = arrival.at
        latency_s = finish_at + policy.topology.round_trip_s(zone) - arrival.at
        if (
            completion.object_key is not None
            and latency_s <= scenario.latency_goal_s
        ):
            result.within_goal += 1
        received_at = arrival.at + latency_s
        heapq.heappush(
            self.completions, (received_at, next(self.tie_breakers), completion)
        )

    def _exchange_busy_slots(self, at: float) -> None:
        busy_slots_by_region = {
            policy.topology.region: policy.measure_busy_slots(at)
            for policy in self.policies
        }
        for policy in self.policies:
            policy.update_busy_slots(busy_slots_by_region, at)


class Completion(Message):
    """Response to a policy's request; object_key is None if rejected."""

    __slots__ = ('object_key', 'policy', 'sent_at', 'target')

    def __init__(
        self,
        *,
        policy: Policy,
        target: str,
        object_key: str | None,
        sent_at: float,
    ) -> None:
        self.sent_at = sent_at
        self.policy = policy
        self.target = target
        self.object_key = object_key


class SimulatedArrival(Message):
    """Arrival of a request at the instance of its region.

    ``region`` is the number of the region, from 0.
    """

    __slots__ = ('at', 'object_key', 'region')

    def __init__(self, *, at: float, region: int, object_key: str) -> None:
        self.at = at
        self.region = region
        self.object_key = object_key


def simulate(
    scenario: Scenario, make_policy: PolicyFactory
) -> list[RegionResult]:
    """Return the result of each region, in order, under a policy."""
    simulation = Simulation(scenario, make_policy)
    for arrival in _list_arrivals(scenario):
        simulation.apply_completions(arrival.at)
        simulation.serve(scenario, arrival)
    return simulation.results


def _enumerate_regions(scenario: Scenario) -> Iterator[tuple[int, int]]:
    return enumerate(scenario.targets_by_region)


def _list_targets(scenario: Scenario) -> Iterator[Target]:
    for region, target_count in _enumerate_regions(scenario):
        for number in range(target_count):
            yield Target(
                name=f't{region}-{number}',
                service=SERVICE,
                address=f'10.0.{region}.{number}:1',
                availability_zone=f'z{region}',
                slots=scenario.slots_per_target,
            )


def _list_arrivals(scenario: Scenario) -> Iterator[SimulatedArrival]:
    random = Random(scenario.seed)
    region_count = len(scenario.targets_by_region)
    max_requests_per_s = (
        scenario.requests_per_s * (1 + TRAFFIC_SWING) * region_count
    )
    at = 0.0
    while at < scenario.duration_s:
        # Thinning of a Poisson process: arrivals are drawn at the maximum rate
        # of all regions, and each is kept with the probability of its region's
        # current rate over the maximum.
        at += random.expovariate(max_requests_per_s)
        region = random.randrange(region_count)
        phase = at / TRAFFIC_PERIOD_S + region / region_count
        rate_share = (1 + TRAFFIC_SWING * sin(2 * pi * phase)) / (
            1 + TRAFFIC_SWING
        )
        if random.random() < rate_share:
            yield SimulatedArrival(
                at=at,
                region=region,
                object_key=f'{region}-{random.randrange(scenario.object_count)}',
            )


def _make_request(
    scenario: Scenario, object_key: str, at: float
) -> PlacementRequest:
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


def _measure_load(model_target: ModelTarget, at: float) -> TargetLoad:
    in_flight = model_target.count_in_flight(at)
    slots = model_target.target.slots
    return TargetLoad(
        running=min(in_flight, slots),
        queued=max(0, in_flight - slots),
        slots=slots,
    )
