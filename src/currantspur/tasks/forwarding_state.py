"""Hold what is known of a request while targets are tried."""

from typing import Any, Final

from currantspur.decisions.retries import may_retry
from currantspur.errors import (
    TargetError,
    TargetFailedError,
    TargetMovedError,
    TargetShedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from currantspur.messages import (
    Assignment,
    AttemptOutcome,
    OutgoingRequest,
    PlacementRequest,
    Refusal,
    RefusalCode,
    RequestContext,
    ResponseChunk,
    ResponseHead,
    TargetLoad,
)

# Targets that were never reached do not count as tries; this bounds them.
MAX_SENDS = 5
# A caller that was told to come back needs time for a whole attempt.
RETRY_AFTER_S = 0.1
MIN_SERVER_ERROR_STATUS = 500
Verdict = tuple[type[TargetError], AttemptOutcome]


class ForwardingState:
    """Hold what is known of one request while it is being sent."""

    __slots__ = (
        'attempts_made',
        'body',
        'context',
        'last_failure',
        'no_target_detail',
        'outgoing_request',
        'response',
        'sends_made',
        'span',
        'tried_targets',
        'was_sent',
    )

    def __init__(
        self,
        *,
        context: RequestContext,
        outgoing_request: OutgoingRequest,
        span: Any,
    ) -> None:
        """Take the span of the request, for those of its exchanges."""
        self.span = span
        self.context = context
        self.outgoing_request = outgoing_request
        self.body = b''
        self.sends_made = 0
        self.attempts_made = 0
        self.tried_targets: frozenset[str] = frozenset()
        self.last_failure: Refusal | None = None
        # Why no further target was given, where that ended it.
        self.no_target_detail: str | None = None
        self.response: ResponseHead | None = None
        self.was_sent = False

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the route says that requests may run twice."""
        route = self.context.route
        return route is not None and route.is_idempotent

    @property
    def final_response(self) -> ResponseHead | Refusal | None:
        """What the caller gets if no other target does better."""
        return (
            (self.response or self.last_failure) if self.last_failure else None
        )

    def make_placement_request(self) -> PlacementRequest:
        """Return what to ask the dispatcher for."""
        context = self.context
        if context.route is None:
            raise AssertionError('an admitted passage has a route')
        has_affinity = context.route.has_affinity
        return PlacementRequest(
            request_id=context.request.request_id,
            route=context.route,
            service=context.service,
            deadline=context.deadline,
            object_key=context.request.object_key if has_affinity else None,
            home_regions=context.home_regions,
            attempt_number=self.attempts_made,
            excluded_targets=self.tried_targets,
        )

    def can_retry(self, at: float) -> bool:
        """Tell whether another target may be tried."""
        route = self.context.route
        if self.last_failure is None or route is None:
            return False
        tries_left = route.max_attempts - self.attempts_made
        return may_retry(
            is_idempotent=self.is_idempotent,
            was_sent=self.was_sent,
            attempts_left=min(tries_left, MAX_SENDS - self.sends_made),
            left_s=self.context.deadline - at,
        )

    def record_failure(
        self, assignment: Assignment, error: TargetError
    ) -> None:
        """Note why a target gave no answer."""
        self.sends_made += 1
        self.tried_targets |= {assignment.target.name}
        arrived = error.may_have_been_sent or isinstance(error, TargetShedError)
        self.attempts_made += int(arrived)
        self.was_sent = self.was_sent or error.may_have_been_sent
        if isinstance(error, TargetFailedError):
            self.response = error.response
        is_late = isinstance(error, TargetTimeoutError)
        self.last_failure = Refusal(
            code=_name_failure(is_late=is_late, was_sent=self.was_sent),
            detail=f'{assignment.target.name}: {error}',
            not_run=not self.was_sent,
            retry_after_s=None if self.was_sent else RETRY_AFTER_S,
        )


class AttemptResult:
    """Hold what came of an exchange so far."""

    __slots__ = ('has_head', 'load', 'outcome', 'status')

    def __init__(self) -> None:
        # A caller that leaves ends the exchange without a verdict.
        self.outcome: AttemptOutcome = 'unknown'
        self.load: TargetLoad | None = None
        self.has_head = False
        self.status = 0

    def record_part(
        self, part: ResponseHead | ResponseChunk, state: ForwardingState
    ) -> None:
        """Take a part; raise TargetFailedError where another may do better."""
        if isinstance(part, ResponseChunk):
            return
        self.has_head = True
        self.load = part.load
        self.status = part.status
        is_failure = (
            part.status >= MIN_SERVER_ERROR_STATUS and part.body is not None
        )
        if is_failure and state.is_idempotent and not state.attempts_made:
            raise TargetFailedError(part)
        if part.body is not None:
            # The caller may leave once it has the whole answer.
            self.outcome = 'answered'


OUTCOME_BY_ERROR: Final[tuple[Verdict, ...]] = (
    (TargetShedError, 'shed'),
    (TargetMovedError, 'moved'),
    (TargetTimeoutError, 'late'),
    (TargetFailedError, 'erred'),
    (TargetUnreachableError, 'unreachable'),
)


def classify_error(error: TargetError) -> AttemptOutcome:
    """Return how an exchange that raised an error ended."""
    for kind, outcome in OUTCOME_BY_ERROR:
        if isinstance(error, kind):
            return outcome
    return 'failed'


def _name_failure(*, is_late: bool, was_sent: bool) -> RefusalCode:
    if is_late:
        return 'deadline_passed'
    return 'outcome_unknown' if was_sent else 'target_failed'
