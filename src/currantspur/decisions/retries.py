"""Bound the requests that are sent to more than one target."""

from currantspur.decisions.token_bucket import TokenBucket
from currantspur.messages.limits import FleetLimits

# Half of what the operator allows: instances that die take their part along,
# and those that replace them begin anew within the same window.
SAFETY_FACTOR = 0.5
MIN_BURST = 1.0


class RetryBudget:
    """Earn a fraction of a repeat with each request for a service."""

    __slots__ = ('bucket', 'ratio', 'slack', 'window_s')

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, fleet_size: int
    ) -> None:
        """Take repeats a request, those beyond it in a window, instances."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.bucket = TokenBucket(rate=0.0, burst=0.0, at=0.0)
        self.update_fleet_size(fleet_size=fleet_size, at=0.0)
        self.bucket.tokens = self.bucket.burst

    def update_fleet_size(self, *, fleet_size: int, at: float) -> None:
        """Share the slack between that many instances."""
        part = SAFETY_FACTOR * self.slack / max(1, fleet_size)
        self.bucket.reconfigure(
            rate=part / self.window_s,
            burst=max(MIN_BURST, part),
            at=at,
        )

    def record_request(self) -> None:
        """Note a request for the service."""
        bucket = self.bucket
        earned = bucket.tokens + SAFETY_FACTOR * self.ratio
        bucket.tokens = min(bucket.burst, earned)

    def try_consume(self, at: float) -> bool:
        """Take one repeat if one is left."""
        return self.bucket.try_consume(at)


class RetryBudgets:
    """Hold a budget for each service."""

    __slots__ = ('by_service', 'fleet_size', 'limits')

    def __init__(self, limits: FleetLimits) -> None:
        self.limits = limits
        self.fleet_size = 1
        self.by_service: dict[str, RetryBudget] = {}

    def get_or_create(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.limits.retry_ratio,
                slack=self.limits.retry_slack,
                window_s=self.limits.retry_window_s,
                fleet_size=self.fleet_size,
            )
            self.by_service[service] = budget
        return budget

    def count_left(self) -> float:
        """Return the repeats that are left for all services."""
        return sum(each.bucket.tokens for each in self.by_service.values())

    def retain_only(self, services: set[str]) -> None:
        """Forget the budgets of all other services."""
        for gone in set(self.by_service) - services:
            self.by_service.pop(gone)

    def update_fleet_size(self, *, fleet_size: int, at: float) -> None:
        """Share every slack between that many instances."""
        self.fleet_size = max(1, fleet_size)
        for budget in self.by_service.values():
            budget.update_fleet_size(fleet_size=fleet_size, at=at)


def may_retry(
    *, is_idempotent: bool, was_sent: bool, attempts_left: int, left_s: float
) -> bool:
    """Tell whether another attempt is safe and has time."""
    is_safe = is_idempotent or not was_sent
    return is_safe and attempts_left > 0 and left_s > 0
