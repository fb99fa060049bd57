"""Limit a rate and a burst by a token bucket."""


class TokenBucket:
    """Tokens that are refilled at a constant rate up to a burst."""

    __slots__ = ('burst', 'rate_per_s', 'tokens', 'updated_at')

    def __init__(
        self, *, rate_per_s: float, burst: float, at: float, tokens: float = 0.0
    ) -> None:
        """Start with some tokens; tokens above the burst are dropped."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(tokens, burst)
        self.updated_at = at

    def refill(self, at: float) -> None:
        """Add the tokens since the last refill; an earlier time adds none."""
        elapsed_s = max(0.0, at - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_at = max(self.updated_at, at)

    def reconfigure(
        self, *, rate_per_s: float, burst: float, at: float
    ) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        self.refill(at)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def try_consume(self, at: float, tokens: float = 1.0) -> bool:
        """Consume tokens if there are enough; tell whether there were."""
        self.refill(at)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def wait_s(self, tokens: float = 1.0) -> float | None:
        """Return the seconds until there are enough tokens; None if never.

        The time is counted from the last refill.
        """
        if self.tokens >= tokens:
            return 0.0
        if self.rate_per_s <= 0 or self.burst < tokens:
            return None
        return (tokens - self.tokens) / self.rate_per_s
