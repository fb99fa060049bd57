"""Define what instances say to each other."""

from currantspur.messages.base import Message


class ProofRequest(Message):
    """Ask a peer for its proof and for what it knows of open writes."""

    __slots__ = ('asker',)

    def __init__(self, *, asker: str) -> None:
        self.asker = asker


class ProofAnswer(Message):
    """Pass a proof on with its age when the answer left (seconds)."""

    __slots__ = ('age_s', 'answerer', 'open_writes', 'version', 'vouches')

    def __init__(
        self,
        *,
        answerer: str,
        version: int,
        age_s: float,
        vouches: bool = False,
        open_writes: tuple[str, ...] = (),
    ) -> None:
        """Take whether the answerer may vouch as a committer, and writes."""
        self.answerer = answerer
        self.version = version
        self.age_s = age_s
        self.vouches = vouches
        self.open_writes = open_writes


class LoanRequest(Message):
    """Ask a peer for tokens of a limit."""

    __slots__ = ('asker', 'limit', 'loan_id', 'tokens', 'version')

    def __init__(
        self,
        *,
        asker: str,
        limit: str,
        tokens: float,
        version: int,
        loan_id: str,
    ) -> None:
        self.asker = asker
        self.limit = limit
        self.tokens = tokens
        self.version = version
        self.loan_id = loan_id


class Loan(Message):
    """Lend tokens, already deducted, to be used before they lapse."""

    __slots__ = ('lapse_s', 'limit', 'loan_id', 'tokens')

    def __init__(
        self, *, limit: str, tokens: float, lapse_s: float, loan_id: str
    ) -> None:
        """Take the lapse as seconds from when the borrower asked."""
        self.limit = limit
        self.tokens = tokens
        self.lapse_s = lapse_s
        self.loan_id = loan_id
