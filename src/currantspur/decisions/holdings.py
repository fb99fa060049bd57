"""Hold all tokens of one instance through versions and lapses."""

from collections.abc import Mapping

from currantspur.decisions.allowance import Allowance
from currantspur.decisions.lending import Authority, Lender
from currantspur.messages import (
    Loan,
    LoanRequest,
    Part,
    Parts,
    name_team_limit,
)

NOTHING = Part(rate=0.0, burst=0.0)
TEAM_PREFIX = name_team_limit('')


class Holdings:
    """Spend, lend and borrow under the parts of the newest version."""

    __slots__ = ('allowances', 'earns_until', 'lender', 'version')

    def __init__(self) -> None:
        self.version = 0
        self.earns_until = float('-inf')
        self.allowances: dict[str, Allowance] = {}
        self.lender = Lender()

    def prove(self, until: float) -> None:
        """Let the parts of teams earn until a proof of them ends.

        What a newer version took away others may use from then on. A time
        without proof earns at the rate in effect once it is proven again.
        Requests without a team go on without a proof, and so do the limits
        that only they spend of.
        """
        self.earns_until = until
        for limit, allowance in self.allowances.items():
            if limit.startswith(TEAM_PREFIX):
                allowance.earns_until = until

    def resize(self, parts: Parts, at: float) -> None:
        """Take new parts; a new allowance starts empty."""
        if parts.version < self.version:
            return
        self.version = parts.version
        for limit, part in parts.by_limit.items():
            if limit not in self.allowances:
                self._open(limit, part, at)
        for limit, allowance in self.allowances.items():
            allowance.resize(parts.by_limit.get(limit, NOTHING), at)
        self._prune(parts.by_limit)

    def count(self, limit: str, at: float) -> float:
        """Return the tokens of a limit that can be spent."""
        allowance = self.allowances.get(limit)
        return allowance.count(at) if allowance else 0.0

    def spend(self, limit: str, at: float, tokens: float = 1.0) -> bool:
        """Take tokens of a limit if that many are there."""
        allowance = self.allowances.get(limit)
        return allowance is not None and allowance.spend(at, tokens)

    def charge(self, limit: str, at: float, tokens: float) -> None:
        """Take tokens of a limit even if they are not there yet."""
        allowance = self.allowances.get(limit)
        if allowance is not None:
            allowance.refill(at)
            allowance.bucket.level -= tokens

    def wait_s(self, limit: str) -> float | None:
        """Return the seconds until a token is there; None if unknown."""
        allowance = self.allowances.get(limit)
        return allowance.wait_s() if allowance else None

    def lend(
        self, request: LoanRequest, authority: Authority, at: float
    ) -> Loan:
        """Lend only under the parts of the version that is in force."""
        if authority.version != self.version:
            authority = Authority(version=authority.version, until=at)
        return self.lender.lend(request, self.allowances, authority, at)

    def borrow(
        self, limit: str, tokens: float, until: float, at: float
    ) -> None:
        """Add tokens that a peer deducted."""
        if limit not in self.allowances:
            self._open(limit, NOTHING, at)
        self.allowances[limit].borrow(tokens, until)

    def _open(self, limit: str, part: Part, at: float) -> None:
        allowance = Allowance(part, at=at)
        if limit.startswith(TEAM_PREFIX):
            allowance.earns_until = self.earns_until
        self.allowances[limit] = allowance

    def _prune(self, kept: Mapping[str, Part]) -> None:
        idle = [
            limit
            for limit, allowance in self.allowances.items()
            if limit not in kept
            and not allowance.lent
            and not allowance.borrowed
        ]
        for limit in idle:
            self.allowances.pop(limit)
