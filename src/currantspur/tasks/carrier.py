"""Carry a request from admission to a target and its answer back."""

import asyncio
from collections.abc import AsyncGenerator, Generator
from contextlib import aclosing, contextmanager
from typing import Any, Final

from currantspur.errors import (
    BodyCutError,
    BodyTooLargeError,
    TargetError,
    TargetFailedError,
)
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    Assignment,
    Outgoing,
    Passage,
    Refusal,
    TargetRelease,
)
from currantspur.tasks.attempts import Attempt, ExchangeResult, judge_error
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.ports import BodySource, TargetPort
from currantspur.tasks.tracing import NoTracer, Tracer

Part = AnswerHead | AnswerChunk | Refusal
NO_TRACER: Final = NoTracer()


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
            assignment = await self._take_target(attempt)
            if isinstance(assignment, Refusal):
                attempt.no_other = assignment.detail
                yield attempt.ending or assignment
                return
            async with aclosing(self._use(attempt, assignment)) as parts:
                async for part in parts:
                    yield part
            may_go_on = attempt.may_go_on(self.clock.now())
        if attempt.ending is not None:
            yield attempt.ending

    async def _take_target(self, attempt: Attempt) -> Assignment | Refusal:
        reply = asyncio.get_running_loop().create_future()
        self.dispatcher.put(Letter(attempt.describe(), reply))
        try:
            given: Assignment | Refusal = await reply
        except asyncio.CancelledError:
            # The target may have been given while the caller left.
            if not reply.cancelled() and isinstance(reply.result(), Assignment):
                self._release(reply.result(), ExchangeResult(), None)
            raise
        return given

    async def _use(
        self, attempt: Attempt, assignment: Assignment
    ) -> AsyncGenerator[AnswerHead | AnswerChunk]:
        with self._hold(attempt, assignment) as result:
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
                    result.note(part, attempt)
                    yield part

    @contextmanager
    def _hold(
        self, attempt: Attempt, assignment: Assignment
    ) -> Generator[ExchangeResult]:
        result = ExchangeResult()
        span = self.tracer.begin('target.request', attempt.span)
        try:
            yield result
            result.outcome = 'answered'
        except TargetError as error:
            result.outcome = judge_error(error)
            attempt.fail(assignment, error)
            if result.is_answered and not isinstance(error, TargetFailedError):
                raise
        finally:
            self._release(assignment, result, span)
            self._note_exchange(attempt, assignment, result)

    def _release(
        self, assignment: Assignment, result: ExchangeResult, span: Any
    ) -> None:
        if span is not None:
            name = assignment.target.name
            self.tracer.end(span, target=name, outcome=result.outcome)
        self.dispatcher.post(
            TargetRelease(
                assignment=assignment, outcome=result.outcome, load=result.load
            )
        )

    def _note_exchange(
        self, attempt: Attempt, assignment: Assignment, result: ExchangeResult
    ) -> None:
        passage = attempt.passage
        write = self.journal.note_failure
        if result.outcome == 'answered':
            write = self.journal.note_success
        failure = attempt.failure
        write(
            'exchange',
            request=passage.arrival.request_id,
            target=assignment.target.name,
            service=passage.service,
            outcome=result.outcome,
            status=result.status,
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
            no_other=attempt.no_other,
            after_s=round(self.clock.now() - passage.arrival.at, 4),
            version=passage.version,
        )


async def _read_body(attempt: Attempt, body: BodySource) -> Refusal | None:
    try:
        attempt.body = await body.read(attempt.passage.body_bytes)
    except BodyTooLargeError as error:
        return Refusal(code='body_too_large', detail=str(error))
    except BodyCutError as error:
        return Refusal(code='bad_request', detail=str(error))
    return None
