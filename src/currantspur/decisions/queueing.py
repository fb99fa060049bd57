"""Order the requests that wait for a slot, and shed what cannot be served."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from typing import Any

QUEUE_LIMIT = 500
LEAST_WEIGHT = 0.001
PURGE_FACTOR = 2
BURST_S = 2.0
PENALTY_LIMIT_S = 1.0


class Waiter:
    """Hold one request that waits; the ticket belongs to its owner."""

    __slots__ = ('deadline', 'is_gone', 'since', 'team', 'ticket')

    def __init__(
        self, *, team: str, deadline: float, since: float, ticket: Any = None
    ) -> None:
        """Take times in monotonic seconds."""
        self.team = team
        self.deadline = deadline
        self.since = since
        self.ticket = ticket
        self.is_gone = True


class Pace:
    """Say how fast a service takes requests from its queue."""

    __slots__ = ('seconds', 'slots')

    def __init__(self, *, slots: int, seconds: float) -> None:
        """Take the slots and the mean seconds for which one is held."""
        self.slots = slots
        self.seconds = seconds

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind so many requests."""
        return ahead * self.seconds / max(1, self.slots)


class QueuePolicy(ABC):
    """Hold the waiting requests of one service."""

    __slots__ = ('by_deadline', 'limit', 'order', 'size')

    def __init__(self, *, limit: int = QUEUE_LIMIT) -> None:
        self.limit = limit
        self.size = 0
        self.order = 0
        self.by_deadline: list[tuple[float, int, Waiter]] = []

    @abstractmethod
    def offer(
        self, waiter: Waiter, *, weight: float, pace: Pace
    ) -> list[Waiter]:
        """Queue a request; return those that are shed for it."""

    @abstractmethod
    def pop(self) -> Waiter | None:
        """Take the next request."""

    def drop(self, waiter: Waiter) -> None:
        """Forget a request that no longer waits."""
        if not waiter.is_gone:
            waiter.is_gone = True
            self.size -= 1
            self.forget(waiter)

    @abstractmethod
    def forget(self, waiter: Waiter) -> None:
        """Note that a request no longer waits."""

    def expire(self, at: float) -> Iterator[Waiter]:
        """Yield the requests whose deadline has passed."""
        while self.by_deadline:
            deadline, _, waiter = self.by_deadline[0]
            if deadline > at and not waiter.is_gone:
                return
            heappop(self.by_deadline)
            if not waiter.is_gone:
                self.drop(waiter)
                yield waiter

    def next_deadline(self) -> float | None:
        """Return when the next request expires."""
        while self.by_deadline and self.by_deadline[0][2].is_gone:
            heappop(self.by_deadline)
        return self.by_deadline[0][0] if self.by_deadline else None

    def admit(self, waiter: Waiter) -> int:
        """Count a request in and return its order."""
        waiter.is_gone = False
        self.size += 1
        self.order += 1
        heappush(self.by_deadline, (waiter.deadline, self.order, waiter))
        if len(self.by_deadline) > PURGE_FACTOR * (self.size + self.limit):
            alive = [one for one in self.by_deadline if not one[2].is_gone]
            heapify(alive)
            self.by_deadline = alive
        return self.order


class ArrivalQueue(QueuePolicy):
    """Serve in the order of arrival, as a baseline to compare with."""

    __slots__ = ('line',)

    def __init__(self, *, limit: int = QUEUE_LIMIT) -> None:
        super().__init__(limit=limit)
        self.line: deque[Waiter] = deque()

    def offer(
        self, waiter: Waiter, *, weight: float, pace: Pace
    ) -> list[Waiter]:
        """Queue a request unless the queue is full."""
        if self.size >= self.limit:
            return [waiter]
        self.admit(waiter)
        self.line.append(waiter)
        return []

    def pop(self) -> Waiter | None:
        """Take the oldest request."""
        while self.line:
            waiter = self.line.popleft()
            if not waiter.is_gone:
                self.drop(waiter)
                return waiter
        return None

    def forget(self, waiter: Waiter) -> None:
        """Leave it in the line until its turn."""


class TeamLine:
    """Hold the waiting requests of one team and how far ahead it is."""

    __slots__ = ('finish', 'is_listed', 'line', 'size', 'weight')

    def __init__(self) -> None:
        self.line: deque[tuple[float, int, Waiter]] = deque()
        self.is_listed = False
        self.size = 0
        self.weight = 1.0
        self.finish = float('-inf')

    @property
    def allowance_s(self) -> float:
        """The seconds of its rate that a team may use ahead of time."""
        return BURST_S + 1 / self.weight

    def advance(self, at: float) -> float:
        """Count one request; return the time at which its turn comes."""
        finish = max(at, self.finish) + 1 / self.weight
        self.finish = min(finish, at + self.allowance_s + PENALTY_LIMIT_S)
        return max(at, self.finish - self.allowance_s)

    def retreat(self) -> None:
        """Take one request off the count."""
        self.finish -= 1 / self.weight

    def excess(self, at: float) -> tuple[float, float]:
        """Return the seconds beyond the allowance, and the length."""
        return max(0.0, self.finish - at - self.allowance_s), self.size

    def purge(self) -> None:
        """Remove from the head what no longer waits."""
        while self.line and self.line[0][2].is_gone:
            self.line.popleft()


class FairQueue(QueuePolicy):
    """Serve in order of arrival the teams inside their rates, then others."""

    __slots__ = ('heads', 'teams')

    def __init__(self, *, limit: int = QUEUE_LIMIT) -> None:
        super().__init__(limit=limit)
        self.teams: dict[str, TeamLine] = {}
        self.heads: list[tuple[float, int, str]] = []

    def offer(
        self, waiter: Waiter, *, weight: float, pace: Pace
    ) -> list[Waiter]:
        """Queue a request; when full, shed of the team furthest ahead."""
        team = self.teams.setdefault(waiter.team, TeamLine())
        team.weight = max(weight, LEAST_WEIGHT)
        turn = team.advance(waiter.since)
        shed: list[Waiter] = []
        if self.size >= self.limit:
            shed = self._shed_for(waiter, team)
            if shed == [waiter]:
                team.retreat()
                return shed
        order = self.admit(waiter)
        team.line.append((turn, order, waiter))
        team.size += 1
        self._list(waiter.team, team)
        return shed

    def pop(self) -> Waiter | None:
        """Take the request whose turn comes first."""
        while self.heads:
            _, _, name = heappop(self.heads)
            team = self.teams[name]
            team.is_listed = False
            team.purge()
            if not team.line:
                continue
            _, _, waiter = team.line.popleft()
            self.drop(waiter)
            self._list(name, team)
            return waiter
        return None

    def forget(self, waiter: Waiter) -> None:
        """Take a request off the count of its team."""
        self.teams[waiter.team].size -= 1

    def _list(self, name: str, team: TeamLine) -> None:
        team.purge()
        if team.line and not team.is_listed:
            team.is_listed = True
            turn, order, _ = team.line[0]
            heappush(self.heads, (turn, order, name))

    def _shed_for(self, waiter: Waiter, team: TeamLine) -> list[Waiter]:
        at = waiter.since
        ahead = max(self.teams.values(), key=lambda one: one.excess(at))
        if ahead is team or ahead.excess(at) <= team.excess(at):
            return [waiter]
        while ahead.line:
            _, _, newest = ahead.line.pop()
            if not newest.is_gone:
                ahead.retreat()
                self.drop(newest)
                return [newest]
        return [waiter]
