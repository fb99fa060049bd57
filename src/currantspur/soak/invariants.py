"""Check invariants on the records of callers and targets."""

from collections import Counter
from collections.abc import Iterable, Iterator

from currantspur.messages.base import Message
from currantspur.platform import PLATFORM_NAMES
from currantspur.standins.behaviours import RESPONSE_BODY
from currantspur.standins.target import TargetStandin
from currantspur.wire.names import KEY_HEADER

# Statuses that promise that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
OK = 200
# Target stand-ins store header names in lower case.
REQUEST_ID_HEADER = PLATFORM_NAMES.request_id_header.lower()
API_KEY_HEADER = KEY_HEADER.lower()


class Violation(Message):
    """An invariant that does not hold, with the id of the request.

    The id is empty where no single request violates the invariant.
    """

    __slots__ = ('invariant', 'request_id')

    def __init__(self, *, invariant: str, request_id: str) -> None:
        self.invariant = invariant
        self.request_id = request_id


class CallRecord(Message):
    """One request and its response as the caller saw them."""

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
        """Create a record; status 0 means that no response was received."""
        self.request_id = request_id
        self.is_non_idempotent = is_non_idempotent
        self.status = status
        self.body = body
        self.response_request_id = response_request_id


def check_invariants(
    call_records: Iterable[CallRecord], targets: Iterable[TargetStandin]
) -> Iterator[Violation]:
    """Yield each violation found in the records of callers and targets."""
    targets = tuple(targets)
    execution_counts = Counter(
        request_id
        for target in targets
        for request_id in target.executed_request_ids
    )
    for record in call_records:
        for invariant in _list_broken_invariants(
            record, execution_counts[record.request_id]
        ):
            yield Violation(invariant=invariant, request_id=record.request_id)
    for target in targets:
        for request in target.received:
            if API_KEY_HEADER in request.headers:
                request_id = request.headers.get(REQUEST_ID_HEADER, '')
                yield Violation(
                    invariant='a key was shown', request_id=request_id
                )


def _list_broken_invariants(
    record: CallRecord, executions: int
) -> Iterator[str]:
    if record.is_non_idempotent and executions > 1:
        yield 'work done once ran more often'
    if (
        record.is_non_idempotent
        and record.status in NOT_EXECUTED_STATUSES
        and executions
    ):
        yield 'what was said not to have run did'
    if record.status == OK and not executions:
        yield 'an answer without a run'
    if record.status == OK and record.body != RESPONSE_BODY:
        yield 'an answer that is not whole'
    if record.status == OK and record.response_request_id != record.request_id:
        yield 'an answer to another request'
