"""Simulate requests of several teams in front of a service's slots."""

from collections.abc import Iterator
from heapq import heappop, heappush
from random import Random

from currantspur.decisions.queueing import Pace, QueuePolicy, Waiter
from currantspur.messages.base import Message

Arrival = tuple[float, str]


class Crowd(Message):
    """Describe teams by their rates and the one that sends too much."""

    __slots__ = ('excess', 'flooder', 'load', 'rates')

    def __init__(
        self,
        *,
        rates: dict[str, float],
        flooder: str,
        excess: float,
        load: float = 0.8,
    ) -> None:
        """Take what the others send as a share of their rates."""
        self.load = load
        self.rates = rates
        self.flooder = flooder
        self.excess = excess


class Service(Message):
    """Describe the slots of a service and the time a request takes."""

    __slots__ = ('deadline_s', 'seconds', 'slots')

    def __init__(
        self, *, slots: int, seconds: float, deadline_s: float
    ) -> None:
        self.slots = slots
        self.seconds = seconds
        self.deadline_s = deadline_s


class Tally(Message):
    """Count what became of one team's requests."""

    __slots__ = ('refused', 'served', 'waits')

    def __init__(self) -> None:
        self.served = 0
        self.refused = 0
        self.waits: list[float] = []

    @property
    def refused_share(self) -> float:
        """The share of the requests that was refused."""
        return self.refused / max(1, self.served + self.refused)


class Simulation:
    """Run arrivals through a policy on a clock of its own."""

    __slots__ = ('crowd', 'ends', 'policy', 'service', 'tallies')

    def __init__(
        self, *, policy: QueuePolicy, crowd: Crowd, service: Service
    ) -> None:
        self.policy = policy
        self.crowd = crowd
        self.service = service
        self.ends: list[float] = []
        self.tallies = {team: Tally() for team in crowd.rates}

    def run(self, *, seed: int, seconds: float) -> dict[str, Tally]:
        """Return what became of each team's requests."""
        for at, team in sorted(draw_arrivals(self.crowd, seed, seconds)):
            self._finish_until(at)
            self._arrive(team, at)
        self._finish_until(float('inf'))
        return self.tallies

    def _arrive(self, team: str, at: float) -> None:
        waiter = Waiter(
            team=team, since=at, deadline=at + self.service.deadline_s
        )
        if not self.policy.size and len(self.ends) < self.service.slots:
            self._start(waiter, at)
            return
        shed = self.policy.offer(
            waiter,
            weight=self.crowd.rates[team],
            pace=Pace(slots=self.service.slots, seconds=self.service.seconds),
        )
        for one in shed:
            self.tallies[one.team].refused += 1

    def _finish_until(self, at: float) -> None:
        while self.ends and self.ends[0] <= at:
            ended_at = heappop(self.ends)
            for waiter in self.policy.expire(ended_at):
                self.tallies[waiter.team].refused += 1
            following = self.policy.pop()
            if following is not None:
                self._start(following, ended_at)

    def _start(self, waiter: Waiter, at: float) -> None:
        tally = self.tallies[waiter.team]
        tally.served += 1
        tally.waits.append(at - waiter.since)
        heappush(self.ends, at + self.service.seconds)


def draw_arrivals(crowd: Crowd, seed: int, seconds: float) -> Iterator[Arrival]:
    """Yield Poisson arrivals of every team, team by team."""
    random = Random(seed)
    for team, rate in crowd.rates.items():
        factor = crowd.excess if team == crowd.flooder else crowd.load
        at = random.expovariate(rate * factor)
        while at < seconds:
            yield at, team
            at += random.expovariate(rate * factor)


def quantile(readings: list[float], share: float) -> float:
    """Return the reading that a share of all does not exceed."""
    ordered = sorted(readings)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0
