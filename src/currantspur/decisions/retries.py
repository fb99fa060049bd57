"""Limit retries: requests sent to another target after a failed attempt."""

from currantspur.decisions.token_bucket import TokenBucket
from currantspur.messages.limits import FleetLimits

# Part of the operator's ratio that is used. A request may count for another
# service while a configuration takes effect, and retries load busy targets.
EARNED_FACTOR = 0.5
# Part of the operator's slack that an instance holds and regains in a window.
# The rest is for instances that die: their replacements start with a new part
# within the same window.
SLACK_FACTOR = 0.4
# The budget of a service can always hold one whole retry.
MIN_BURST = 1.0


class RetryBudget:
    """Retries that this instance may still send for one service.

    Each request earns a fraction of a retry. The instance's part of the slack
    is added at a constant rate over each window.
    """

    __slots__ = ('bucket', 'ratio', 'slack', 'window_s')

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        limit_divisor: float,
    ) -> None:
        """Start with a full budget.

        The ratio is in retries per request. The slack is the number of retries
        beyond the ratio that the whole fleet may send in each window.
        """
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.bucket = TokenBucket(rate_per_s=0.0, burst=0.0, at=0.0)
        self.update_limit_divisor(limit_divisor=limit_divisor, at=0.0)
        self.bucket.tokens = self.bucket.burst

    def update_limit_divisor(self, *, limit_divisor: float, at: float) -> None:
        """Set the number that divides the slack."""
        own_slack = SLACK_FACTOR * self.slack / max(1.0, limit_divisor)
        self.bucket.reconfigure(
            rate_per_s=own_slack / self.window_s,
            burst=max(MIN_BURST, own_slack),
            at=at,
        )

    def record_request(self) -> None:
        """Add the part of a retry that a request earns."""
        bucket = self.bucket
        tokens = bucket.tokens + EARNED_FACTOR * self.ratio
        bucket.tokens = min(bucket.burst, tokens)

    def try_consume(self, at: float) -> bool:
        """Consume one retry if one is left; tell whether one was."""
        return self.bucket.try_consume(at)


class RetryBudgets:
    """The retry budgets of all services."""

    __slots__ = ('by_service', 'limit_divisor', 'limits')

    def __init__(self, limits: FleetLimits) -> None:
        self.limits = limits
        self.limit_divisor = 1.0
        self.by_service: dict[str, RetryBudget] = {}

    def get_or_create(self, service: str) -> RetryBudget:
        """Return the budget of a service, a full one if it is new."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.limits.retry_ratio,
                slack=self.limits.retry_slack,
                window_s=self.limits.retry_window_s,
                limit_divisor=self.limit_divisor,
            )
            self.by_service[service] = budget
        return budget

    def count_retries_left(self) -> float:
        """Return the retries that are left, summed over all services."""
        return sum(budget.bucket.tokens for budget in self.by_service.values())

    def retain_only(self, services: set[str]) -> None:
        """Remove the budgets of all other services."""
        for removed in set(self.by_service) - services:
            self.by_service.pop(removed)

    def update_limit_divisor(self, *, limit_divisor: float, at: float) -> None:
        """Set the number that divides the slack of each budget."""
        self.limit_divisor = max(1.0, limit_divisor)
        for budget in self.by_service.values():
            budget.update_limit_divisor(limit_divisor=limit_divisor, at=at)


def may_retry(
    *,
    is_idempotent: bool,
    may_have_run: bool,
    attempts_left: int,
    remaining_s: float,
) -> bool:
    """Tell whether a request may be sent to another target.

    That is safe for an idempotent request, and for any that surely did not run.
    `remaining_s` is the time to the deadline of the request, in seconds.
    """
    is_safe = is_idempotent or not may_have_run
    return is_safe and attempts_left > 0 and remaining_s > 0
