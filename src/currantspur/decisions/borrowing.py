"""Decide when to ask which peer for tokens."""

from collections.abc import Mapping, Sequence

from currantspur.decisions.bucket import Bucket
from currantspur.messages import Loan, LoanRequest, Message
from currantspur.messages.loans import Borrowed, LoanCall

ASKS_PER_S = 20.0
ASKS_AT_ONCE = 20.0
# A peer that had nothing to lend is left alone for this time.
EMPTY_S = 0.2


class _Ask(Message):
    __slots__ = ('asked_at', 'lender', 'limit')

    def __init__(self, *, limit: str, lender: str, asked_at: float) -> None:
        self.limit = limit
        self.lender = lender
        self.asked_at = asked_at


class Borrower:
    """Keep one request under way for each limit and few in a second."""

    __slots__ = (
        'asked_at',
        'asks',
        'budget',
        'empty_until',
        'incarnation',
        'instance',
        'lenders',
        'serial',
    )

    def __init__(self, *, instance: str, incarnation: str, at: float) -> None:
        """Take a text that no earlier process of the instance used."""
        self.instance = instance
        self.incarnation = incarnation
        self.serial = 0
        self.asks: dict[str, _Ask] = {}
        self.lenders: dict[str, Sequence[str]] = {}
        self.asked_at: dict[tuple[str, str], float] = {}
        self.empty_until: dict[tuple[str, str], float] = {}
        self.budget = Bucket(
            rate=ASKS_PER_S, burst=ASKS_AT_ONCE, at=at, level=ASKS_AT_ONCE
        )

    def learn(self, lenders: Mapping[str, Sequence[str]]) -> None:
        """Take the peers that hold parts of each limit, best first."""
        self.lenders = dict(lenders)
        self.empty_until.clear()
        self.asked_at.clear()

    def is_waiting(self, limit: str) -> bool:
        """Tell whether a request for a limit is under way."""
        return any(ask.limit == limit for ask in self.asks.values())

    def find_limit(self, loan_id: str) -> str | None:
        """Return the limit that a request under way is for."""
        ask = self.asks.get(loan_id)
        return ask.limit if ask else None

    def may_ask(self, limit: str, at: float) -> bool:
        """Tell whether a request is under way or can be sent."""
        if self.is_waiting(limit):
            return True
        self.budget.refill(at)
        return self.budget.level >= 1 and self._choose(limit, at) is not None

    def ask(
        self, limit: str, tokens: float, at: float, *, version: int
    ) -> LoanCall | None:
        """Return whom to ask now, or None where nobody is worth asking."""
        lender = self._choose(limit, at)
        if lender is None or self.is_waiting(limit):
            return None
        if not self.budget.spend(at):
            return None
        self.serial += 1
        loan_id = f'{self.instance}/{self.incarnation}/{self.serial}'
        self.asked_at[limit, lender] = at
        self.asks[loan_id] = _Ask(limit=limit, lender=lender, asked_at=at)
        request = LoanRequest(
            asker=self.instance,
            limit=limit,
            tokens=tokens,
            version=version,
            loan_id=loan_id,
        )
        return LoanCall(lender=lender, request=request)

    def settle(
        self, loan_id: str, loan: Loan | None, at: float
    ) -> Borrowed | None:
        """Take an answer, or its loss, once; late tokens are worth nothing."""
        ask = self.asks.pop(loan_id, None)
        if ask is None:
            return None
        if loan is not None and loan.tokens > 0:
            until = ask.asked_at + loan.lapse_s
            if at < until:
                return Borrowed(
                    limit=ask.limit, tokens=loan.tokens, until=until
                )
        self.empty_until[ask.limit, ask.lender] = at + EMPTY_S
        return None

    def _choose(self, limit: str, at: float) -> str | None:
        """Return the lender asked longest ago that may have tokens."""
        able = [
            lender
            for lender in self.lenders.get(limit, ())
            if self.empty_until.get((limit, lender), at) <= at
        ]
        never = float('-inf')
        return min(
            able,
            key=lambda lender: self.asked_at.get((limit, lender), never),
            default=None,
        )
