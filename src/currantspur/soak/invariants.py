"""Keep what callers saw and check it against what targets ran."""

from collections import Counter
from collections.abc import Iterable, Iterator

from currantspur.messages.base import Message
from currantspur.platform import PLATFORM_NAMES
from currantspur.standins.target import BODY, TargetStandin
from currantspur.wire.names import KEY_HEADER

# These say that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200
# The stand-ins keep names of headers in lower case.
REQUEST_ID = PLATFORM_NAMES.request_id_header.lower()
KEY = KEY_HEADER.lower()


class Violation(Message):
    """Name a promise that was broken, and by which request."""

    __slots__ = ('invariant', 'request_id')

    def __init__(self, *, invariant: str, request_id: str) -> None:
        self.invariant = invariant
        self.request_id = request_id


class CallRecord(Message):
    """Hold one request and its answer as its caller saw them."""

    __slots__ = (
        'body',
        'is_non_idempotent',
        'request_id',
        'response_request_id',
        'status',
    )

    def __init__(
        self,
        *,
        request_id: str,
        is_non_idempotent: bool,
        status: int,
        body: bytes = b'',
        response_request_id: str = '',
    ) -> None:
        """Take 0 for a connection that ended without an answer."""
        self.request_id = request_id
        self.is_non_idempotent = is_non_idempotent
        self.status = status
        self.body = body
        self.response_request_id = response_request_id


def check_invariants(
    seen: Iterable[CallRecord], targets: Iterable[TargetStandin]
) -> Iterator[Violation]:
    """Yield every promise that a request saw broken."""
    targets = tuple(targets)
    ran = Counter(
        one for target in targets for one in target.executed_request_ids
    )
    for each in seen:
        for invariant in _list_broken(each, ran[each.request_id]):
            yield Violation(invariant=invariant, request_id=each.request_id)
    for target in targets:
        for asked in target.received:
            if KEY in asked.headers:
                request_id = asked.headers.get(REQUEST_ID, '')
                yield Violation(
                    invariant='a key was shown', request_id=request_id
                )


def _list_broken(seen: CallRecord, runs: int) -> Iterator[str]:
    if seen.is_non_idempotent and runs > 1:
        yield 'work done once ran more often'
    if seen.is_non_idempotent and seen.status in NOT_RUN and runs:
        yield 'what was said not to have run did'
    if seen.status == OK and not runs:
        yield 'an answer without a run'
    if seen.status == OK and seen.body != BODY:
        yield 'an answer that is not whole'
    if seen.status == OK and seen.response_request_id != seen.request_id:
        yield 'an answer to another request'
