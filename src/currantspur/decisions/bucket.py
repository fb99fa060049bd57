"""Limit a rate and a burst by a token bucket."""


class Bucket:
    """Hold tokens that refill at a rate up to a burst."""

    __slots__ = ('burst', 'level', 'rate', 'updated_at')

    def __init__(
        self, *, rate: float, burst: float, at: float, level: float = 0.0
    ) -> None:
        """Take the rate in tokens a second and the time in seconds."""
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self.updated_at = at

    def refill(self, at: float) -> None:
        """Add the tokens of the time that passed; time never runs back."""
        passed = max(0.0, at - self.updated_at)
        self.level = min(self.burst, self.level + passed * self.rate)
        self.updated_at = max(self.updated_at, at)

    def resize(self, *, rate: float, burst: float, at: float) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self.refill(at)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def spend(self, at: float, tokens: float = 1.0) -> bool:
        """Take tokens if that many are there."""
        self.refill(at)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def wait_s(self, tokens: float = 1.0) -> float | None:
        """Return the seconds until tokens are there; None if never."""
        if self.level >= tokens:
            return 0.0
        if self.rate <= 0 or self.burst < tokens:
            return None
        return (tokens - self.level) / self.rate
