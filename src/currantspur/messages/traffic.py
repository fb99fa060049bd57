"""Define the messages of a request and of a look-up."""

from typing import Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import Route, Target

RefusalCode = Literal[
    'bad_request',
    'deadline_passed',
    'duplicate',
    'key_missing',
    'key_unknown',
    'not_fresh',
    'outcome_unknown',
    'overloaded',
    'rate_exceeded',
    'region_full',
    'route_unknown',
    'stopping',
    'store_away',
    'target_failed',
]
Verdict = Literal['succeeded', 'failed', 'shed', 'unknown']


class Refusal(Message):
    """Say why a request was not answered and whether it surely did not run."""

    __slots__ = ('code', 'detail', 'not_run', 'retry_after_s')

    def __init__(
        self,
        *,
        code: RefusalCode,
        detail: str,
        not_run: bool = True,
        retry_after_s: float | None = None,
    ) -> None:
        self.code = code
        self.detail = detail
        self.not_run = not_run
        self.retry_after_s = retry_after_s


class Arrival(Message):
    """Describe a request as it entered, without its body."""

    __slots__ = (
        'at',
        'deadline',
        'idempotency_key',
        'key',
        'method',
        'path',
        'request_id',
    )

    def __init__(
        self,
        *,
        request_id: str,
        at: float,
        method: str,
        path: str,
        key: str | None = None,
        idempotency_key: str | None = None,
        deadline: float | None = None,
    ) -> None:
        """Take times as monotonic seconds of this instance."""
        self.request_id = request_id
        self.at = at
        self.method = method
        self.path = path
        self.key = key
        self.idempotency_key = idempotency_key
        self.deadline = deadline


class Passage(Message):
    """Carry an arrival through the filters with what they found out."""

    __slots__ = ('arrival', 'deadline', 'key_id', 'refusal', 'route', 'team')

    def __init__(self, *, arrival: Arrival) -> None:
        self.arrival = arrival
        self.route: Route | None = None
        self.team: str | None = None
        self.key_id: str | None = None
        self.deadline = arrival.deadline
        self.refusal: Refusal | None = None


class Confirmation(Message):
    """Ask whether an admitted passage may still be carried."""

    __slots__ = ('at', 'passage', 'refusal')

    def __init__(self, *, passage: Passage, at: float = 0.0) -> None:
        self.passage = passage
        self.at = at
        self.refusal: Refusal | None = None


class Assignment(Message):
    """Give one slot of a target to a request until it is released."""

    __slots__ = ('request_id', 'taken_at', 'target')

    def __init__(
        self, *, request_id: str, target: Target, taken_at: float = 0.0
    ) -> None:
        """Take when the slot was given in monotonic seconds."""
        self.request_id = request_id
        self.target = target
        self.taken_at = taken_at


class LookupQuery(Message):
    """Ask which entry instances a client should use."""

    __slots__ = ('at', 'client', 'service', 'team')

    def __init__(
        self,
        *,
        at: float,
        client: bytes,
        service: str | None = None,
        team: str | None = None,
    ) -> None:
        """Take the client's address as 4 or 16 packed bytes."""
        self.at = at
        self.client = client
        self.service = service
        self.team = team


class Entry(Message):
    """Name an entry instance with its share of the caller's requests."""

    __slots__ = ('address', 'availability_zone', 'instance', 'weight')

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        availability_zone: str,
        weight: float,
    ) -> None:
        self.instance = instance
        self.address = address
        self.availability_zone = availability_zone
        self.weight = weight


class LookupAnswer(Message):
    """List entries and the seconds for which a caller may keep them."""

    __slots__ = ('cache_s', 'entries', 'site')

    def __init__(
        self, *, entries: tuple[Entry, ...], cache_s: float, site: str | None
    ) -> None:
        self.entries = entries
        self.cache_s = cache_s
        self.site = site


class Outgoing(Message):
    """Describe the request that a target gets; its body follows as chunks."""

    __slots__ = ('headers', 'method', 'path')

    def __init__(
        self, *, method: str, path: str, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers


class AnswerHead(Message):
    """Open an answer with its status and headers."""

    __slots__ = ('headers', 'status')

    def __init__(
        self, *, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.status = status
        self.headers = headers


class AnswerChunk(Message):
    """Carry a piece of an answer's body."""

    __slots__ = ('body',)

    def __init__(self, *, body: bytes) -> None:
        self.body = body


class SlotRequest(Message):
    """Ask for a slot of a target before the deadline."""

    __slots__ = (
        'attempt',
        'deadline',
        'request_id',
        'service',
        'team',
        'without',
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        team: str | None,
        deadline: float,
        without: frozenset[str] | None = None,
        attempt: int = 0,
    ) -> None:
        """Take the deadline in monotonic seconds and targets to leave out."""
        self.request_id = request_id
        self.service = service
        self.team = team
        self.deadline = deadline
        self.without = without or frozenset()
        self.attempt = attempt


class SlotRelease(Message):
    """Give a slot back with what came of the exchange."""

    __slots__ = ('assignment', 'verdict')

    def __init__(self, *, assignment: Assignment, verdict: Verdict) -> None:
        self.assignment = assignment
        self.verdict = verdict


class Expiry(Message):
    """Remind a task that the time of something it holds has come."""

    __slots__ = ()
