"""Define what instances say to each other."""

from currantspur.messages.base import Message
from currantspur.messages.control import Instance


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


class WriteIntent(Message):
    """Announce a write on top of a base version before it is sent."""

    __slots__ = ('author', 'base_version', 'change_id', 'writer')

    def __init__(
        self, *, writer: str, change_id: str, author: str, base_version: int
    ) -> None:
        self.writer = writer
        self.change_id = change_id
        self.author = author
        self.base_version = base_version


class WriteAcknowledgement(Message):
    """Accept an intended write under the row version of an incarnation."""

    __slots__ = ('accepted', 'answerer', 'row_version')

    def __init__(
        self, *, answerer: str, accepted: bool, row_version: int = 0
    ) -> None:
        self.answerer = answerer
        self.accepted = accepted
        self.row_version = row_version


class VersionNotice(Message):
    """Say that a version exists, so that it is looked for at once."""

    __slots__ = ('sender', 'version')

    def __init__(self, *, sender: str, version: int) -> None:
        self.sender = sender
        self.version = version


class Receipt(Message):
    """Say that a notice arrived."""

    __slots__ = ('answerer',)

    def __init__(self, *, answerer: str) -> None:
        self.answerer = answerer


class HeadRequest(Message):
    """Ask a peer for the head of a version; 0 asks for its newest."""

    __slots__ = ('version',)

    def __init__(self, *, version: int = 0) -> None:
        self.version = version


class HeadAnswer(Message):
    """Pass the text of a head on; it is empty when the peer lacks it."""

    __slots__ = ('text',)

    def __init__(self, *, text: str) -> None:
        self.text = text


class ObjectRequest(Message):
    """Ask a peer for an object by its name."""

    __slots__ = ('name',)

    def __init__(self, *, name: str) -> None:
        self.name = name


class ObjectAnswer(Message):
    """Pass an object on, if the peer holds it."""

    __slots__ = ('body', 'found')

    def __init__(self, *, found: bool, body: bytes = b'') -> None:
        self.found = found
        self.body = body


class MembersRequest(Message):
    """Ask a peer which instances it knows, unless the digest still fits."""

    __slots__ = ('asker', 'digest')

    def __init__(self, *, asker: str, digest: str = '') -> None:
        self.asker = asker
        self.digest = digest


class MembersAnswer(Message):
    """Pass the known instances on; none where the digest fitted."""

    __slots__ = ('digest', 'instances')

    def __init__(
        self, *, instances: tuple[Instance, ...], digest: str = ''
    ) -> None:
        self.instances = instances
        self.digest = digest
