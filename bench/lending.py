"""Count wrongful refusals under a skewed load: python -m bench.lending."""

import heapq
import random
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import count
from typing import Any

from currantspur.decisions.bucket import Bucket
from currantspur.decisions.identity import mint_key
from currantspur.decisions.limits import cap_plan
from currantspur.decisions.planning import find_holders, plan_limits
from currantspur.messages import (
    Allotment,
    Arrival,
    Configuration,
    Head,
    InForce,
    Instance,
    Key,
    Message,
    Part,
    Parts,
    Plan,
    Proof,
    Route,
    Team,
    name_team_limit,
)
from currantspur.messages.loans import LoanCall, LoanOutcome
from currantspur.standins.workloads import (
    BURST_S,
    TEAM_RATES,
    list_zones,
)
from currantspur.tasks import AdmissionTask, Clock, Letter

INSTANCES = 9
SECONDS = 60.0
WARM_S = 5.0
PROOF_S = 0.5
LOAD = 0.9
ZONE_HOP_S = 0.0025
REGION_HOP_S = 0.0175
HEAVY_SHARE = 0.7
VERSION = 1
QUANTILE = 0.99


class Scenario(Message):
    """Name a way to split and whether peers lend."""

    __slots__ = ('lends', 'name', 'split', 'steers')

    def __init__(
        self, name: str, *, split: str, lends: bool, steers: bool = False
    ) -> None:
        """Take whether look-ups send callers to instances with a part."""
        self.name = name
        self.split = split
        self.lends = lends
        self.steers = steers


SCENARIOS = (
    Scenario('equal parts', split='equal', lends=False),
    Scenario('equal parts, loans', split='equal', lends=True),
    Scenario('homes for small rates', split='homes', lends=False),
    Scenario('homes, loans', split='homes', lends=True),
    Scenario('homes by demand', split='demand', lends=False),
    Scenario('homes by demand, loans', split='demand', lends=True),
    Scenario(
        'homes, callers sent to them', split='homes', lends=False, steers=True
    ),
    Scenario(
        'homes, callers sent, loans', split='homes', lends=True, steers=True
    ),
    Scenario(
        'homes by demand, callers sent, loans',
        split='demand',
        lends=True,
        steers=True,
    ),
)


class SteppedClock(Clock):
    """Tell the time of the event that runs."""

    __slots__ = ('at',)

    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        """Return the time of the event."""
        return self.at

    def unix(self) -> float:
        """Return the time of the event."""
        return self.at

    async def sleep(self, seconds: float) -> None:
        """Refuse: nothing sleeps in a stepped run."""
        raise AssertionError(seconds)


class Reply:
    """Take the outcome of a request."""

    __slots__ = ('arrived_at', 'clock', 'outcomes', 'team')

    def __init__(self, team: str, clock: SteppedClock, outcomes: Any) -> None:
        self.team = team
        self.clock = clock
        self.arrived_at = clock.at
        self.outcomes = outcomes

    def done(self) -> bool:
        """Tell that the caller still waits."""
        return False

    def set_result(self, passage: Any) -> None:
        """Note the outcome."""
        waited_s = self.clock.at - self.arrived_at
        self.outcomes.append((self, passage.refusal, waited_s))


class Run:
    """Step admission tasks through a load with a network between them."""

    __slots__ = (
        'calls',
        'clock',
        'configuration',
        'events',
        'members',
        'nodes',
        'numbers',
        'outcomes',
        'plan',
        'random',
        'scenario',
        'secrets',
    )

    def __init__(self, scenario: Scenario, *, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.clock = SteppedClock()
        self.events: list[Any] = []
        self.numbers = count()
        self.outcomes: list[Any] = []
        self.calls: Counter[str] = Counter()
        self.members = list_members()
        self.secrets: dict[str, str] = {}
        self.configuration = Configuration(
            routes=(Route(prefix='/status', service='status'),),
            teams=tuple(list_teams()),
            keys=tuple(self.mint_keys()),
        )
        self.plan = self.make_plan()
        self.nodes = {one.name: self.open_node(one) for one in self.members}

    def mint_keys(self) -> Iterator[Key]:
        """Yield a key for each team."""
        for team in list_teams():
            secret, kept = mint_key(team.name)
            self.secrets[team.name] = secret
            yield kept

    def open_node(self, instance: Instance) -> AdmissionTask:
        """Return a task that knows its parts."""
        task = AdmissionTask(
            clock=self.clock, freshness_s=1.5, instance=instance.name
        )
        plan = self.plan
        head = Head(version=VERSION, sections={}, author='a', change_id='c')
        task.learn(
            InForce(
                head=head,
                configuration=self.configuration,
                plan=plan if self.scenario.lends else Plan(),
            )
        )
        parts = cap_plan(plan, self.configuration, instance.name)
        task.learn(Parts(by_limit=parts, version=VERSION))
        return task

    def make_plan(self) -> Plan:
        """Split the limits as the scenario says."""
        if self.scenario.split == 'equal':
            return split_equally(self.configuration, self.members)
        demand = self.list_demand() if self.scenario.split == 'demand' else {}
        return plan_limits(self.configuration, self.members, demand, Plan())

    def list_demand(self) -> dict[str, dict[str, float]]:
        """Return the true demand by limit and instance."""
        return {
            name_team_limit(team.name): dict(
                zip(
                    (one.name for one in self.members),
                    (share * team.rate for share in skew(index)),
                    strict=True,
                )
            )
            for index, team in enumerate(self.configuration.teams)
        }

    def at(self, seconds: float, act: Any, *given: Any) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (seconds, next(self.numbers), act, given))

    def go(self) -> None:
        """Run all events in order."""
        for index, team in enumerate(self.configuration.teams):
            self.at(0.0, self.arrive, team, index)
        self.at(0.0, self.prove)
        while self.events:
            at, _, act, given = heapq.heappop(self.events)
            self.clock.at = at
            act(*given)

    def prove(self) -> None:
        """Keep every instance fresh."""
        proof = Proof(version=VERSION, proven_at=self.clock.at)
        for node in self.nodes.values():
            node.learn(proof)
        if self.clock.at < SECONDS:
            self.at(self.clock.at + PROOF_S, self.prove)

    def arrive(self, team: Team, index: int) -> None:
        """Send a request, and set the time of the next one."""
        pause_s = self.random.expovariate(team.rate * LOAD)
        if self.clock.at + pause_s < SECONDS:
            self.at(self.clock.at + pause_s, self.arrive, team, index)
        member = self.choose_entry(team, index)
        arrival = Arrival(
            request_id='r',
            at=self.clock.at,
            method='GET',
            path='/status',
            key=self.secrets[team.name],
        )
        reply: Any = Reply(team.name, self.clock, self.outcomes)
        self.tell(member, Letter(arrival, reply))

    def choose_entry(self, team: Team, index: int) -> Instance:
        """Return where a request enters: skewed, among holders if steered."""
        shares = skew(index)
        if self.scenario.steers:
            held = find_holders(self.plan, name_team_limit(team.name))
            shares = [
                share if member.name in held else 0.0
                for share, member in zip(shares, self.members, strict=True)
            ]
        return self.random.choices(self.members, shares)[0]

    def tell(self, member: Instance, letter: Letter) -> None:
        """Hand a letter over and send what comes of it."""
        node = self.nodes[member.name]
        node.receive([letter])
        for called in node.calls.drain():
            call: Any = called.message
            self.calls[member.name] += 1
            lender = next(
                one for one in self.members if one.name == call.lender
            )
            hop_s = find_hop_s(member, lender)
            self.at(self.clock.at + hop_s, self.lend, member, lender, call)

    def lend(self, member: Instance, lender: Instance, call: LoanCall) -> None:
        """Let the lender answer and carry its answer back."""
        loan: Any = self.nodes[lender.name].learn(call.request)
        outcome = LoanOutcome(loan_id=call.request.loan_id, loan=loan)
        hop_s = find_hop_s(member, lender)
        self.at(self.clock.at + hop_s, self.tell, member, Letter(outcome))


def list_members() -> list[Instance]:
    """Return the instances of today."""
    zones = list_zones()
    return [
        Instance(
            name=f'entry-{index + 1}',
            address='',
            peer='',
            availability_zone=zones[index % len(zones)],
        )
        for index in range(INSTANCES)
    ]


def list_teams() -> Iterator[Team]:
    """Yield the teams of today."""
    for index, rate in enumerate(TEAM_RATES, start=1):
        yield Team(name=f'team-{index}', rate=rate, burst=rate * BURST_S)


def skew(index: int) -> list[float]:
    """Return the share of a team's requests that enters at each instance."""
    rest = (1 - HEAVY_SHARE) / (INSTANCES - 1)
    heavy = index * 2 % INSTANCES
    return [
        HEAVY_SHARE if number == heavy else rest for number in range(INSTANCES)
    ]


def find_hop_s(one: Instance, other: Instance) -> float:
    """Return the time that a message takes one way."""
    regions = {
        member.availability_zone.partition('-')[0] for member in (one, other)
    }
    return ZONE_HOP_S if len(regions) == 1 else REGION_HOP_S


def split_equally(
    configuration: Configuration, members: Iterable[Instance]
) -> Plan:
    """Return a plan in which every instance holds the same part."""
    return Plan(
        allotments=tuple(
            Allotment(
                limit=name_team_limit(team.name),
                instance=member.name,
                part=Part(
                    rate=team.rate / INSTANCES, burst=team.burst / INSTANCES
                ),
            )
            for team in configuration.teams
            for member in members
        ),
        totals={
            name_team_limit(team.name): Part(rate=team.rate, burst=team.burst)
            for team in configuration.teams
        },
    )


def judge(run: Run) -> Iterator[tuple[str, bool, float]]:
    """Yield team, wrongful refusal and wait of each request in its rate."""
    buckets = {
        team.name: Bucket(rate=team.rate, burst=team.burst, at=0.0)
        for team in run.configuration.teams
    }
    outcomes = sorted(run.outcomes, key=lambda one: one[0].arrived_at)
    for reply, refusal, waited_s in outcomes:
        # One bucket for the whole fleet says what was inside the rate.
        inside = buckets[reply.team].spend(reply.arrived_at)
        if inside and reply.arrived_at >= WARM_S:
            yield reply.team, refusal is not None, waited_s


def print_row(scenario: Scenario, seed: int) -> str:
    """Return the figures of a scenario as a row of a table."""
    run = Run(scenario, seed=seed)
    run.go()
    asked: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    waits = []
    for team, wrongful, waited_s in judge(run):
        asked[team] += 1
        refused[team] += wrongful
        waits.append(waited_s)
    share = 100 * refused.total() / asked.total()
    worst = 100 * max(refused[team] / asked[team] for team in asked)
    wait_ms = 1000 * sorted(waits)[int(len(waits) * QUANTILE)]
    calls = max(run.calls.values(), default=0) / SECONDS
    return (
        f'| {scenario.name} | {asked.total()} | {share:.2f} | {worst:.2f}'
        f' | {wait_ms:.0f} | {calls:.1f} |'
    )


def main(seed: int = 1) -> None:
    """Print a row for each scenario."""
    sys.stdout.write(
        '| split | inside the rate | refused % | worst team % |'
        ' wait p99 ms | busiest asks/s |\n| --- | --- | --- | --- | --- |'
        ' --- |\n'
    )
    for scenario in SCENARIOS:
        sys.stdout.write(f'{print_row(scenario, seed)}\n')


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
