"""State of a request over all attempts to forward it."""

from typing import Any, Final

from currantspur.decisions.retries import may_retry
from currantspur.decisions.return_time import plan_return_s
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
    TargetSignals,
)

# Attempts that did not reach a target do not count towards the maximum of the
# route; this bounds all attempts of a request.
MAX_TOTAL_ATTEMPTS = 5
# Short, so that the caller has time left for a whole attempt.
RETRY_AFTER_S = 0.1
MIN_SERVER_ERROR_STATUS = 500
ErrorOutcome = tuple[type[TargetError], AttemptOutcome]


class ForwardingState:
    """Attempts of one request so far and what they lead to."""

    __slots__ = (
        'body',
        'context',
        'ends_at',
        'failed_attempts',
        'failed_response',
        'last_refusal',
        'may_have_run',
        'no_target_detail',
        'outgoing_request',
        'reached_attempts',
        'span',
        'tried_targets',
    )

    def __init__(
        self,
        *,
        context: RequestContext,
        outgoing_request: OutgoingRequest,
        span: Any,
    ) -> None:
        """Start without attempts; the span is the parent of their spans."""
        self.span = span
        self.context = context
        self.outgoing_request = outgoing_request
        self.body: bytes | bytearray = b''
        # When the instance stops, in monotonic seconds.
        self.ends_at = float('inf')
        # All failed attempts, and those that reached a target or may have.
        self.failed_attempts = 0
        self.reached_attempts = 0
        self.tried_targets: frozenset[str] = frozenset()
        self.last_refusal: Refusal | None = None
        # Detail of the refusal by the dispatcher, if that ended the attempts.
        self.no_target_detail: str | None = None
        self.failed_response: ResponseHead | None = None
        # True if any attempt may have run the request.
        self.may_have_run = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the route allows a request to run more than once."""
        route = self.context.route
        return route is not None and route.is_idempotent

    @property
    def final_response(self) -> ResponseHead | Refusal | None:
        """Response or refusal for the caller if no other target succeeds.

        None unless the latest attempt failed.
        """
        return (
            (self.failed_response or self.last_refusal)
            if self.last_refusal
            else None
        )

    @property
    def deadline(self) -> float:
        """Deadline of the request, or when the instance stops before it."""
        return min(self.context.deadline, self.ends_at)

    def make_placement_request(self) -> PlacementRequest:
        """Return a request for a target that was not tried yet."""
        context = self.context
        if context.route is None:
            raise AssertionError('an admitted request has no route')
        has_affinity = context.route.has_affinity
        return PlacementRequest(
            request_id=context.request.request_id,
            route=context.route,
            service=context.service,
            deadline=self.deadline,
            must_meet_deadline=self.ends_at < context.deadline,
            object_key=context.request.object_key if has_affinity else None,
            home_regions=context.home_regions,
            attempt_number=self.reached_attempts,
            excluded_targets=self.tried_targets,
            rank=context.rank,
        )

    def can_retry(self, at: float) -> bool:
        """Return whether another target may be tried."""
        route = self.context.route
        if self.last_refusal is None or route is None:
            return False
        attempts_left = route.max_attempts - self.reached_attempts
        return may_retry(
            is_idempotent=self.is_idempotent,
            may_have_run=self.may_have_run,
            attempts_left=min(
                attempts_left, MAX_TOTAL_ATTEMPTS - self.failed_attempts
            ),
            remaining_s=self.deadline - at,
        )

    def refuse_retry(self, refusal: Refusal) -> ResponseHead | Refusal:
        """Return the answer for the caller if no target is left to try.

        After a request that did not run the caller should not return before a
        target takes one again.
        """
        self.no_target_detail = refusal.detail
        final = self.final_response or refusal
        if isinstance(final, Refusal) and final.not_run:
            final.retry_after_s = max(
                final.retry_after_s or 0.0, refusal.retry_after_s or 0.0
            )
        return final

    def record_failure(
        self, assignment: Assignment, error: TargetError
    ) -> None:
        """Record a failed attempt and the refusal that it leads to."""
        self.failed_attempts += 1
        self.tried_targets |= {assignment.target.name}
        has_reached_target = error.may_have_run or isinstance(
            error, TargetShedError
        )
        self.reached_attempts += int(has_reached_target)
        self.may_have_run = self.may_have_run or error.may_have_run
        if isinstance(error, TargetFailedError):
            self.failed_response = error.response
        is_late = isinstance(error, TargetTimeoutError)
        self.last_refusal = Refusal(
            code=_choose_refusal_code(
                is_late=is_late, may_have_run=self.may_have_run
            ),
            detail=f'{assignment.target.name}: {error}',
            not_run=not self.may_have_run,
            retry_after_s=(
                None
                if self.may_have_run
                else plan_return_s(
                    RETRY_AFTER_S, self.context.request.request_id
                )
            ),
        )


class AttemptResult:
    """Outcome of one attempt so far, and what its target reported."""

    __slots__ = ('has_head', 'load', 'outcome', 'signals', 'status')

    def __init__(self) -> None:
        # Stays unknown if the caller disconnects during the attempt.
        self.outcome: AttemptOutcome = 'unknown'
        self.load: TargetLoad | None = None
        self.signals: TargetSignals | None = None
        self.has_head = False
        self.status = 0

    def record_part(
        self, part: ResponseHead | ResponseChunk, state: ForwardingState
    ) -> None:
        """Record a part; raise TargetFailedError if a retry may succeed."""
        if isinstance(part, ResponseChunk):
            return
        self.has_head = True
        self.load = part.load
        self.signals = part.signals
        self.status = part.status
        is_failure = (
            part.status >= MIN_SERVER_ERROR_STATUS and part.body is not None
        )
        # Only the first counted attempt is retried after a server error, and
        # only if the head came with the whole body.
        if is_failure and state.is_idempotent and not state.reached_attempts:
            raise TargetFailedError(part)
        if part.body is not None:
            # The caller may disconnect once it has the whole response.
            self.outcome = 'answered'


OUTCOME_BY_ERROR: Final[tuple[ErrorOutcome, ...]] = (
    (TargetShedError, 'shed'),
    (TargetMovedError, 'moved'),
    (TargetTimeoutError, 'late'),
    (TargetFailedError, 'erred'),
    (TargetUnreachableError, 'unreachable'),
)


def classify_error(error: TargetError) -> AttemptOutcome:
    """Return the outcome of an attempt that raised this error."""
    for error_type, outcome in OUTCOME_BY_ERROR:
        if isinstance(error, error_type):
            return outcome
    return 'failed'


def _choose_refusal_code(*, is_late: bool, may_have_run: bool) -> RefusalCode:
    if is_late:
        return 'deadline_passed'
    return 'outcome_unknown' if may_have_run else 'target_failed'
