"""Carry a request from admission to a target and its answer back."""

from collections.abc import AsyncGenerator, Generator
from contextlib import aclosing, contextmanager
from typing import Any, Final

from currantspur.decisions.retries import may_send_again
from currantspur.errors import (
    BodyCutError,
    BodyTooLargeError,
    TargetError,
    TargetFailedError,
    TargetMovedError,
    TargetShedError,
    TargetTimeoutError,
)
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    Assignment,
    Outcome,
    Outgoing,
    Passage,
    Refusal,
    RefusalCode,
    TargetLoad,
    TargetRelease,
    TargetRequest,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.ports import BodySource, TargetPort
from currantspur.tasks.tracing import NoTracer, Tracer

Part = AnswerHead | AnswerChunk | Refusal
# Targets that were never reached do not count as tries; this bounds them.
SENDS_LIMIT = 5
# A caller that was told to come back needs time for a whole attempt.
COME_BACK_S = 0.1
FIRST_FAILURE = 500
Verdict = tuple[type[TargetError], Outcome]
NO_TRACER: Final = NoTracer()


class Attempt:
    """Hold what is known of one request while it is being sent."""

    __slots__ = (
        'answer',
        'body',
        'failure',
        'outgoing',
        'passage',
        'sends',
        'span',
        'tried',
        'tries',
        'was_sent',
    )

    def __init__(
        self, *, passage: Passage, outgoing: Outgoing, span: Any
    ) -> None:
        """Take the span of the request, for those of its exchanges."""
        self.span = span
        self.passage = passage
        self.outgoing = outgoing
        self.body = b''
        self.sends = 0
        self.tries = 0
        self.tried: frozenset[str] = frozenset()
        self.failure: Refusal | None = None
        self.answer: AnswerHead | None = None
        self.was_sent = False

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the route says that requests may run twice."""
        route = self.passage.route
        return route is not None and route.is_idempotent

    @property
    def ending(self) -> AnswerHead | Refusal | None:
        """What the caller gets if no other target does better."""
        return (self.answer or self.failure) if self.failure else None

    def describe(self) -> TargetRequest:
        """Return what to ask the dispatcher for."""
        passage = self.passage
        if passage.route is None:
            raise AssertionError('an admitted passage has a route')
        has_affinity = passage.route.has_affinity
        return TargetRequest(
            request_id=passage.arrival.request_id,
            route=passage.route,
            service=passage.service,
            deadline=passage.deadline,
            object_key=passage.arrival.object_key if has_affinity else None,
            home_regions=passage.home_regions,
            attempt=self.tries,
            without=self.tried,
        )

    def fail(self, assignment: Assignment, error: TargetError) -> None:
        """Note why a target gave no answer."""
        self.sends += 1
        self.tried |= {assignment.target.name}
        arrived = error.sent or isinstance(error, TargetShedError)
        self.tries += int(arrived)
        self.was_sent = self.was_sent or error.sent
        if isinstance(error, TargetFailedError):
            self.answer = error.answer
        is_late = isinstance(error, TargetTimeoutError)
        self.failure = Refusal(
            code=_name_failure(is_late=is_late, was_sent=self.was_sent),
            detail=f'{assignment.target.name}: {error}',
            not_run=not self.was_sent,
            retry_after_s=None if self.was_sent else COME_BACK_S,
        )


class Carrier:
    """Run requests; each is a stream of the parts of its answer."""

    __slots__ = (
        'admission',
        'clock',
        'dispatcher',
        'journal',
        'targets',
        'tracer',
    )

    def __init__(
        self,
        *,
        admission: Mailbox,
        dispatcher: Mailbox,
        targets: TargetPort,
        clock: Clock,
        journal: Journal,
        tracer: Tracer = NO_TRACER,
    ) -> None:
        self.tracer = tracer
        self.admission = admission
        self.dispatcher = dispatcher
        self.targets = targets
        self.clock = clock
        self.journal = journal

    async def run(
        self,
        arrival: Arrival,
        outgoing: Outgoing,
        body: BodySource,
    ) -> AsyncGenerator[Part]:
        """Yield a refusal, or the head and the rest of the answer."""
        span = self.tracer.begin('entry.request')
        try:
            async with aclosing(
                self._carry(arrival, outgoing, body, span)
            ) as parts:
                async for part in parts:
                    yield part
        finally:
            self.tracer.end(span, request=arrival.request_id)

    async def _carry(
        self,
        arrival: Arrival,
        outgoing: Outgoing,
        body: BodySource,
        span: Any,
    ) -> AsyncGenerator[Part]:
        passage: Passage = await self.admission.ask(arrival)
        attempt = Attempt(passage=passage, outgoing=outgoing, span=span)
        refusal = passage.refusal or await _read_body(attempt, body)
        if refusal is not None:
            self._note_refusal(passage, refusal, attempt)
            yield refusal
            return
        async with aclosing(self._try_targets(attempt)) as parts:
            async for part in parts:
                if isinstance(part, Refusal):
                    self._note_refusal(passage, part, attempt)
                yield part

    async def _try_targets(self, attempt: Attempt) -> AsyncGenerator[Part]:
        may_go_on = True
        while may_go_on:
            assignment = await self.dispatcher.ask(attempt.describe())
            if isinstance(assignment, Refusal):
                yield attempt.ending or assignment
                return
            async with aclosing(self._use(attempt, assignment)) as parts:
                async for part in parts:
                    yield part
            may_go_on = self._may_go_on(attempt)
        if attempt.ending is not None:
            yield attempt.ending

    def _may_go_on(self, attempt: Attempt) -> bool:
        route = attempt.passage.route
        if attempt.failure is None or route is None:
            return False
        return may_send_again(
            is_idempotent=attempt.is_idempotent,
            was_sent=attempt.was_sent,
            tries_left=min(
                route.tries - attempt.tries, SENDS_LIMIT - attempt.sends
            ),
            left_s=attempt.passage.deadline - self.clock.now(),
        )

    async def _use(
        self, attempt: Attempt, assignment: Assignment
    ) -> AsyncGenerator[AnswerHead | AnswerChunk]:
        with self._hold(attempt, assignment) as held:
            attempt.failure = None
            left_s = attempt.passage.deadline - self.clock.now()
            sending = self.targets.send(
                assignment.target,
                attempt.outgoing,
                attempt.body,
                team=attempt.passage.team,
                left_s=left_s,
                once=not attempt.is_idempotent,
            )
            async with aclosing(sending) as parts:
                async for part in parts:
                    held.note(part, attempt)
                    yield part

    @contextmanager
    def _hold(
        self, attempt: Attempt, assignment: Assignment
    ) -> Generator['_Held']:
        held = _Held()
        span = self.tracer.begin('target.request', attempt.span)
        try:
            yield held
            held.outcome = 'answered'
        except TargetError as error:
            held.outcome = _judge(error)
            attempt.fail(assignment, error)
            if held.is_answered and not isinstance(error, TargetFailedError):
                raise
        finally:
            self._release(assignment, held, span)
            self._note_exchange(attempt, assignment, held)

    def _release(
        self, assignment: Assignment, held: '_Held', span: Any
    ) -> None:
        name = assignment.target.name
        self.tracer.end(span, target=name, outcome=held.outcome)
        self.dispatcher.post(
            TargetRelease(
                assignment=assignment, outcome=held.outcome, load=held.load
            )
        )

    def _note_exchange(
        self, attempt: Attempt, assignment: Assignment, held: '_Held'
    ) -> None:
        passage = attempt.passage
        write = self.journal.note_failure
        if held.outcome == 'answered':
            write = self.journal.note_success
        failure = attempt.failure
        write(
            'exchange',
            request=passage.arrival.request_id,
            target=assignment.target.name,
            service=passage.service,
            outcome=held.outcome,
            status=held.status,
            cause=failure.detail if failure else None,
            took_s=round(self.clock.now() - assignment.taken_at, 4),
            expected_s=round(assignment.expected_s, 4),
            is_warm=assignment.is_warm,
            attempt=attempt.tries,
            version=passage.version,
        )

    def _note_refusal(
        self, passage: Passage, refusal: Refusal, attempt: Attempt
    ) -> None:
        self.journal.note_failure(
            'refused',
            request=passage.arrival.request_id,
            code=refusal.code,
            detail=refusal.detail,
            not_run=refusal.not_run,
            route=passage.route.name if passage.route else None,
            team=passage.team,
            tries=attempt.tries,
            after_s=round(self.clock.now() - passage.arrival.at, 4),
            version=passage.version,
        )


class _Held:
    """Hold what came of an exchange so far."""

    __slots__ = ('is_answered', 'load', 'outcome', 'status')

    def __init__(self) -> None:
        # A caller that leaves ends the exchange without a verdict.
        self.outcome: Outcome = 'unknown'
        self.load: TargetLoad | None = None
        self.is_answered = False
        self.status = 0

    def note(self, part: AnswerHead | AnswerChunk, attempt: Attempt) -> None:
        """Take a part; raise TargetFailedError where another may do better."""
        if isinstance(part, AnswerChunk):
            return
        self.is_answered = True
        self.load = part.load
        self.status = part.status
        is_failure = part.status >= FIRST_FAILURE and part.body is not None
        if is_failure and attempt.is_idempotent and not attempt.tries:
            raise TargetFailedError(part)
        if part.body is not None:
            # The caller may leave once it has the whole answer.
            self.outcome = 'answered'


OUTCOMES: Final[tuple[Verdict, ...]] = (
    (TargetShedError, 'shed'),
    (TargetMovedError, 'moved'),
    (TargetTimeoutError, 'late'),
    (TargetFailedError, 'erred'),
)


def _judge(error: TargetError) -> Outcome:
    for kind, outcome in OUTCOMES:
        if isinstance(error, kind):
            return outcome
    return 'failed'


def _name_failure(*, is_late: bool, was_sent: bool) -> RefusalCode:
    if is_late:
        return 'deadline_passed'
    return 'outcome_unknown' if was_sent else 'target_failed'


async def _read_body(attempt: Attempt, body: BodySource) -> Refusal | None:
    try:
        attempt.body = await body.read(attempt.passage.body_bytes)
    except BodyTooLargeError as error:
        return Refusal(code='body_too_large', detail=str(error))
    except BodyCutError as error:
        return Refusal(code='bad_request', detail=str(error))
    return None
