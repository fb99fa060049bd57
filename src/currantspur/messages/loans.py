"""Define what tasks of one instance say about loans."""

from currantspur.messages.base import Message
from currantspur.messages.peer import Loan, LoanRequest


class LoanCall(Message):
    """Send a request for a loan to an instance."""

    __slots__ = ('lender', 'request')

    def __init__(self, *, lender: str, request: LoanRequest) -> None:
        self.lender = lender
        self.request = request


class Borrowed(Message):
    """Bring tokens of a limit, to be spent before a monotonic time."""

    __slots__ = ('limit', 'tokens', 'until')

    def __init__(self, *, limit: str, tokens: float, until: float) -> None:
        self.limit = limit
        self.tokens = tokens
        self.until = until


class LoanOutcome(Message):
    """Bring the answer to a request for a loan, or say that none came."""

    __slots__ = ('loan', 'loan_id')

    def __init__(self, *, loan_id: str, loan: Loan | None = None) -> None:
        self.loan_id = loan_id
        self.loan = loan
