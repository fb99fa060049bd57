"""Limit a rate and a burst by a token bucket."""


class TokenBucket:
    """Hold tokens that refill at a rate up to a burst."""

    __slots__ = ('burst', 'rate', 'tokens', 'updated_at')

    def __init__(
        self, *, rate: float, burst: float, at: float, tokens: float = 0.0
    ) -> None:
        """Take the rate in tokens a second and the time in seconds."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(tokens, burst)
        self.updated_at = at

    def refill(self, at: float) -> None:
        """Add the tokens of the time that passed; time never runs back."""
        passed = max(0.0, at - self.updated_at)
        self.tokens = min(self.burst, self.tokens + passed * self.rate)
        self.updated_at = max(self.updated_at, at)

    def reconfigure(self, *, rate: float, burst: float, at: float) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self.refill(at)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def try_consume(self, at: float, tokens: float = 1.0) -> bool:
        """Take tokens if that many are there."""
        self.refill(at)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def wait_s(self, tokens: float = 1.0) -> float | None:
        """Return the seconds until tokens are there; None if never."""
        if self.tokens >= tokens:
            return 0.0
        if self.rate <= 0 or self.burst < tokens:
            return None
        return (tokens - self.tokens) / self.rate
