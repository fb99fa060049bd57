"""Favour latency and headroom: shed early what would wait for long."""

from currantspur.decisions.queueing import (
    QUEUE_LIMIT,
    FairQueue,
    Pace,
    QueuePolicy,
    Waiter,
)
from currantspur.messages.configuration import Objective

LONGEST_WAIT_S = 0.25


class LatencyQueue(FairQueue):
    """Keep the queue so short that its wait stays under a bound."""

    __slots__ = ('longest_wait_s',)

    def __init__(
        self,
        *,
        limit: int = QUEUE_LIMIT,
        longest_wait_s: float = LONGEST_WAIT_S,
    ) -> None:
        super().__init__(limit=limit)
        self.longest_wait_s = longest_wait_s

    def offer(
        self, waiter: Waiter, *, weight: float, pace: Pace
    ) -> list[Waiter]:
        """Queue a request only if its turn comes soon and in time."""
        left_s = waiter.deadline - waiter.since
        if left_s < pace.seconds:
            return [waiter]
        bound_s = min(self.longest_wait_s, left_s - pace.seconds)
        limit = self.limit
        if pace.wait_s(self.size + 1) > bound_s:
            # No longer than now: a request of a fuller team makes room.
            self.limit = self.size
        shed = super().offer(waiter, weight=weight, pace=pace)
        self.limit = limit
        return shed


def choose_policy(objective: Objective) -> QueuePolicy:
    """Return the policy of an objective."""
    if objective == 'latency':
        return LatencyQueue()
    return FairQueue()
