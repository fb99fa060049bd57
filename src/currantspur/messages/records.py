"""Define the record of an automatic decision."""

import math

from currantspur.messages.base import Message


class Evidence(Message):
    """Name one input of a decision with its age in seconds."""

    __slots__ = ('age_s', 'name', 'reading')

    def __init__(self, *, name: str, reading: str, age_s: float) -> None:
        self.name = name
        self.reading = reading
        self.age_s = age_s


class Decision(Message):
    """Record what was decided, why, under which version and author."""

    __slots__ = (
        'action',
        'at_s',
        'author',
        'evidence',
        'instance',
        'kind',
        'reason',
        'rejected',
        'request_id',
        'subject',
        'team',
        'version',
    )

    def __init__(
        self,
        *,
        at_s: float,
        instance: str,
        kind: str,
        subject: str,
        action: str,
        reason: str,
        evidence: tuple[Evidence, ...] = (),
        rejected: tuple[str, ...] = (),
        version: int = 0,
        author: str = '',
        team: str | None = None,
        request_id: str | None = None,
    ) -> None:
        """Take the time as Unix seconds."""
        self.at_s = at_s
        self.instance = instance
        self.kind = kind
        self.subject = subject
        self.action = action
        self.reason = reason
        self.evidence = evidence
        self.rejected = rejected
        self.version = version
        self.author = author
        self.team = team
        self.request_id = request_id


class Question(Message):
    """Ask for the decisions about a subject, team or request; None: any."""

    __slots__ = (
        'limit',
        'request_id',
        'since_s',
        'subject',
        'team',
        'until_s',
    )

    def __init__(
        self,
        *,
        subject: str | None = None,
        team: str | None = None,
        request_id: str | None = None,
        since_s: float = 0.0,
        until_s: float = math.inf,
        limit: int = 100,
    ) -> None:
        """Take the earliest and latest time as Unix seconds."""
        self.subject = subject
        self.team = team
        self.request_id = request_id
        self.since_s = since_s
        self.until_s = until_s
        self.limit = limit
