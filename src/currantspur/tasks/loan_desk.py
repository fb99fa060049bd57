"""Keep requests that wait for a loan."""

from collections import deque
from collections.abc import Iterator
from math import floor

from currantspur.decisions.borrowing import Borrower
from currantspur.decisions.holdings import Holdings
from currantspur.decisions.shortage import ShortageMeter
from currantspur.messages import Message, Passage
from currantspur.messages.loans import LoanOutcome
from currantspur.tasks.mailbox import Letter, Mailbox

# A request waits this long for a loan, or until its deadline.
WAIT_S = 0.3
WAITING_LIMIT = 2_000
# A loan covers what was lacking over about this time.
SHORTAGE_MEMORY_S = 0.5


class Waiting(Message):
    """Keep a letter and its passage until a time."""

    __slots__ = ('letter', 'passage', 'until')

    def __init__(
        self, *, letter: Letter, passage: Passage, until: float
    ) -> None:
        self.letter = letter
        self.passage = passage
        self.until = until


class LoanDesk:
    """Hold the requests that lack tokens, and ask for a loan for them all."""

    __slots__ = ('borrower', 'calls', 'shortage', 'version', 'waiting')

    def __init__(self, *, borrower: Borrower, calls: Mailbox) -> None:
        self.borrower = borrower
        self.calls = calls
        self.version = 0
        self.shortage = ShortageMeter(memory_s=SHORTAGE_MEMORY_S)
        self.waiting: dict[str, deque[Waiting]] = {}

    def hold(self, limit: str, waiting: Waiting, at: float) -> bool:
        """Keep a request if a loan can still come in its time."""
        queue = self.waiting.setdefault(limit, deque())
        self.shortage.add(limit, at)
        if len(queue) >= WAITING_LIMIT or waiting.until <= at:
            return False
        if not self.borrower.may_ask(limit, at):
            return False
        queue.append(waiting)
        return True

    def flush(self, at: float) -> Iterator[Waiting]:
        """Ask once for all that wait; yield those for whom nobody lends."""
        for limit, queue in list(self.waiting.items()):
            if self.borrower.is_waiting(limit):
                continue
            if not queue or not self._ask(limit, at):
                yield from self.waiting.pop(limit)

    def settle(
        self, outcome: LoanOutcome, holdings: Holdings, at: float
    ) -> deque[Waiting]:
        """Take a loan in, or its loss; return the requests it was for."""
        limit = self.borrower.find_limit(outcome.loan_id)
        loan = self.borrower.settle(outcome.loan_id, outcome.loan, at)
        if loan is not None:
            holdings.borrow(loan.limit, loan.tokens, loan.until, at)
        return self.waiting.pop(limit, deque()) if limit else deque()

    def _ask(self, limit: str, at: float) -> bool:
        waiting = len(self.waiting.get(limit, ()))
        lacking = floor(self.shortage.read(limit, at) * SHORTAGE_MEMORY_S)
        tokens = float(max(1, waiting, lacking))
        call = self.borrower.ask(limit, tokens, at, version=self.version)
        if call is not None:
            self.calls.post(call)
        return call is not None
