"""Hold an instance's tokens of one limit: own, lent and borrowed."""

from math import floor

from currantspur.decisions.bucket import Bucket
from currantspur.messages import Message, Part

# The lender waits this much longer than the borrower may spend.
LAPSE_MARGIN_S = 0.1


class _Lapsing(Message):
    """Keep tokens until a time."""

    __slots__ = ('tokens', 'until')

    def __init__(self, tokens: float, until: float) -> None:
        self.tokens = tokens
        self.until = until


class Allowance:
    """Spend own and borrowed tokens; lend by deducting first.

    Lent tokens lower the burst until the borrower can no longer spend them:
    a level that refilled while they are unspent would add them once more.
    """

    __slots__ = ('borrowed', 'bucket', 'earns_until', 'lent', 'part')

    def __init__(self, part: Part, *, at: float, level: float = 0.0) -> None:
        self.part = part
        self.earns_until = float('inf')
        self.bucket = Bucket(
            rate=part.rate, burst=part.burst, at=at, level=level
        )
        self.lent: list[_Lapsing] = []
        self.borrowed: list[_Lapsing] = []

    def resize(self, part: Part, at: float) -> None:
        """Take a new part; tokens above the new burst are lost."""
        self.part = part
        self.refill(at)

    def refill(self, at: float) -> None:
        """Add the tokens of the time that may earn; drop what lapsed."""
        earned_at = min(at, self.earns_until)
        self.bucket.refill(earned_at)
        self.lent = [loan for loan in self.lent if loan.until >= at]
        self.borrowed = [
            loan
            for loan in self.borrowed
            if loan.until >= at and loan.tokens > 0
        ]
        burst = max(0.0, self.part.burst - self.count_lent())
        self.bucket.resize(rate=self.part.rate, burst=burst, at=earned_at)

    def count_lent(self) -> float:
        """Return the tokens that borrowers may still spend."""
        return sum(loan.tokens for loan in self.lent)

    def count(self, at: float) -> float:
        """Return the tokens that can be spent."""
        self.refill(at)
        return self.bucket.level + sum(loan.tokens for loan in self.borrowed)

    def spend(self, at: float, tokens: float = 1.0) -> bool:
        """Take tokens, borrowed ones first, if that many are there."""
        if self.count(at) < tokens:
            return False
        for loan in self.borrowed:
            taken = min(loan.tokens, tokens)
            loan.tokens -= taken
            tokens -= taken
        self.bucket.level -= tokens
        return True

    def lend(self, tokens: float, at: float, lapse_s: float) -> float:
        """Deduct and return the tokens lent: at most half, but one if any."""
        self.refill(at)
        spare = max(floor(self.bucket.level / 2), min(1, self.bucket.level))
        given = max(0, min(floor(tokens), floor(spare)))
        if given:
            self.bucket.level -= given
            self.lent.append(_Lapsing(given, at + lapse_s + LAPSE_MARGIN_S))
            self.bucket.burst -= given
        return float(given)

    def borrow(self, tokens: float, until: float) -> None:
        """Add tokens that a peer deducted, to be spent before they lapse."""
        self.borrowed.append(_Lapsing(tokens, until))

    def wait_s(self) -> float | None:
        """Return the seconds until a token is there; None if never."""
        return self.bucket.wait_s()
