"""Decide what an instance lends to a peer."""

from collections.abc import Mapping

from currantspur.decisions.allowance import Allowance
from currantspur.messages import Loan, LoanRequest, Message

# A loan is spent within this time of being asked for.
LOAN_S = 1.0
KEPT_LOANS = 1_000


class Authority(Message):
    """Say under which version, and until when, an instance may act."""

    __slots__ = ('until', 'version')

    def __init__(self, *, version: int, until: float) -> None:
        """Take the monotonic time at which the instance stops being fresh."""
        self.version = version
        self.until = until


class Lender:
    """Lend once for each loan id; a loan never outlives the authority."""

    __slots__ = ('made',)

    def __init__(self) -> None:
        self.made: dict[str, Loan] = {}

    def lend(
        self,
        request: LoanRequest,
        allowances: Mapping[str, Allowance],
        authority: Authority,
        at: float,
    ) -> Loan:
        """Return a loan, already deducted; of nothing where none is due."""
        made = self.made.get(request.loan_id)
        if made is not None:
            return made
        loan = self._make(request, allowances, authority, at)
        if loan.tokens:
            self._keep(loan)
        return loan

    def _make(
        self,
        request: LoanRequest,
        allowances: Mapping[str, Allowance],
        authority: Authority,
        at: float,
    ) -> Loan:
        lapse_s = min(LOAN_S, authority.until - at)
        allowance = allowances.get(request.limit)
        is_behind = request.version > authority.version
        tokens = 0.0
        if allowance is not None and lapse_s > 0 and not is_behind:
            tokens = allowance.lend(request.tokens, at, lapse_s)
        return Loan(
            limit=request.limit,
            tokens=tokens,
            lapse_s=max(0.0, lapse_s),
            loan_id=request.loan_id,
        )

    def _keep(self, loan: Loan) -> None:
        self.made[loan.loan_id] = loan
        while len(self.made) > KEPT_LOANS:
            self.made.pop(next(iter(self.made)))
