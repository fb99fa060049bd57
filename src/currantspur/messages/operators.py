"""Define what operators ask of an instance and what they are told."""

from typing import TYPE_CHECKING, Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import Configuration, Operator
from currantspur.messages.control import Head, Instance
from currantspur.messages.plan import Part

if TYPE_CHECKING:
    from currantspur.settings.findings import Finding

Plain = str | float | int | bool
RejectionCode = Literal[
    'conflict',
    'findings',
    'forbidden',
    'malformed',
    'not_found',
    'outcome_unknown',
    'overloaded',
    'store_away',
    'unauthorised',
]


class Credential(Message):
    """Show a secret key; it is never printed."""

    __slots__ = ('secret',)

    def __init__(self, *, secret: str) -> None:
        self.secret = secret

    def __repr__(self) -> str:
        """Leave the secret out."""
        return 'Credential()'


class SnapshotQuery(Message):
    """Ask what is in force on this instance."""

    __slots__ = ()


class Snapshot(Message):
    """Say what is in force on this instance."""

    __slots__ = (
        'configuration',
        'fresh_age_s',
        'head',
        'members',
        'parts',
        'unix_s',
    )

    def __init__(
        self,
        *,
        head: Head | None,
        configuration: Configuration,
        fresh_age_s: float | None,
        members: tuple[Instance, ...],
        parts: dict[str, Part],
        unix_s: float,
    ) -> None:
        """Take the age in seconds of the proof of the version, if any."""
        self.unix_s = unix_s
        self.head = head
        self.configuration = configuration
        self.fresh_age_s = fresh_age_s
        self.members = members
        self.parts = parts


class MemberStatus(Message):
    """Say which version an instance runs; None where it did not answer."""

    __slots__ = ('fresh_age_s', 'instance', 'version')

    def __init__(
        self,
        *,
        instance: Instance,
        version: int | None = None,
        fresh_age_s: float | None = None,
    ) -> None:
        self.instance = instance
        self.version = version
        self.fresh_age_s = fresh_age_s


class UseQuery(Message):
    """Ask how much of each limit's part is used on this instance."""

    __slots__ = ()


class DrainQuery(Message):
    """Ask how far the drains are, as this instance steers."""

    __slots__ = ()


class LimitUse(Message):
    """Say how much of a part is left, lent, borrowed and asked for."""

    __slots__ = ('borrowed', 'demand', 'lent', 'level', 'limit', 'part')

    def __init__(
        self,
        *,
        limit: str,
        part: Part,
        level: float,
        lent: float = 0.0,
        borrowed: float = 0.0,
        demand: float = 0.0,
    ) -> None:
        """Take tokens, and the demand as tokens a second."""
        self.limit = limit
        self.part = part
        self.level = level
        self.lent = lent
        self.borrowed = borrowed
        self.demand = demand


class UseReport(Message):
    """List the use of each limit on this instance."""

    __slots__ = ('uses',)

    def __init__(self, *, uses: tuple[LimitUse, ...] = ()) -> None:
        self.uses = uses


class Difference(Message):
    """Name a value that two configurations do not share; None: absent."""

    __slots__ = ('after', 'before', 'path')

    def __init__(
        self, *, path: str, before: Plain | None, after: Plain | None
    ) -> None:
        self.path = path
        self.before = before
        self.after = after


class Blame(Message):
    """Name the version, change and author that set a value."""

    __slots__ = ('at_s', 'author', 'change_id', 'path', 'setting', 'version')

    def __init__(self, *, path: str, setting: Plain, head: Head) -> None:
        self.path = path
        self.setting = setting
        self.version = head.version
        self.author = head.author
        self.change_id = head.change_id
        self.at_s = head.at_s


class Effect(Message):
    """Say what a change would move, or which limit it would come near."""

    __slots__ = ('is_warning', 'kind', 'share', 'subject', 'text')

    def __init__(
        self,
        *,
        kind: Literal['move', 'limit'],
        subject: str,
        share: float,
        text: str,
        is_warning: bool = False,
    ) -> None:
        """Take the share of the subject's whole that is moved or used."""
        self.kind = kind
        self.subject = subject
        self.share = share
        self.text = text
        self.is_warning = is_warning


class Rejection(Message):
    """Say why an operator's request was not carried out."""

    __slots__ = (
        'author',
        'code',
        'detail',
        'findings',
        'other_author',
        'version',
    )

    def __init__(
        self,
        *,
        code: RejectionCode,
        detail: str,
        author: str = '',
        other_author: str = '',
        version: int = 0,
        findings: 'tuple[Finding, ...]' = (),
    ) -> None:
        """Take both authors and the newest version where changes conflict."""
        self.code = code
        self.detail = detail
        self.findings = findings
        self.author = author
        self.other_author = other_author
        self.version = version


class Order(Message):
    """Ask for a change in an operator's name."""

    __slots__ = ('edit', 'operator')

    def __init__(self, *, edit: Message, operator: Operator) -> None:
        self.edit = edit
        self.operator = operator
