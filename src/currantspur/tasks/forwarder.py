"""Forward requests from admission to a target and stream the responses."""

import asyncio
from collections.abc import AsyncGenerator, Generator
from contextlib import aclosing, contextmanager
from typing import Any, Final

from currantspur.errors import (
    BodyCutError,
    BodyTooLargeError,
    BudgetFullError,
    MailboxFullError,
    TargetError,
    TargetFailedError,
)
from currantspur.messages import (
    Assignment,
    IncomingRequest,
    OutgoingRequest,
    Refusal,
    RequestContext,
    ResponseChunk,
    ResponseHead,
    ResponseStarted,
    TargetRelease,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.forwarding_state import (
    AttemptResult,
    ForwardingState,
    classify_error,
)
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope, Mailbox
from currantspur.tasks.ports import BodySource, TargetPort
from currantspur.tasks.tracing import NoTracer, Tracer

ResponsePart = ResponseHead | ResponseChunk | Refusal
NO_TRACER: Final = NoTracer()
# Callers of an instance with a full mailbox return once it has worked it off.
FULL_RETRY_AFTER_S = 1.0


class RequestForwarder:
    """Forward requests and retry them at other targets."""

    __slots__ = (
        'admission',
        'clock',
        'dispatcher',
        'ends_at',
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
        # When the instance stops, in monotonic seconds: no attempt should last
        # longer.
        self.ends_at = float('inf')
        self.admission = admission
        self.dispatcher = dispatcher
        self.targets = targets
        self.clock = clock
        self.journal = journal

    async def run(
        self,
        request: IncomingRequest,
        outgoing_request: OutgoingRequest,
        body: BodySource,
        turn: asyncio.Event,
    ) -> AsyncGenerator[ResponsePart]:
        """Yield a refusal, or the head of the response and then its chunks.

        A request that may run only once waits until its turn is set: if its
        connection closes before, the caller may send it again. Raise
        TargetError if the target fails after the head was yielded.
        """
        span = self.tracer.begin('entry.request')
        try:
            async with aclosing(
                self._forward(request, outgoing_request, body, span, turn)
            ) as parts:
                async for part in parts:
                    yield part
        finally:
            self.tracer.end(span, request=request.request_id)

    async def _forward(
        self,
        request: IncomingRequest,
        outgoing_request: OutgoingRequest,
        body: BodySource,
        span: Any,
        turn: asyncio.Event,
    ) -> AsyncGenerator[ResponsePart]:
        context: RequestContext = await self.admission.ask(request)
        state = ForwardingState(
            context=context, outgoing_request=outgoing_request, span=span
        )
        refusal = context.refusal or await _read_body(state, body)
        if refusal is not None:
            self._log_refusal(context, refusal, state)
            yield refusal
            return
        if not state.is_idempotent:
            await turn.wait()
        async with aclosing(self._try_targets(state)) as parts:
            async for part in parts:
                if isinstance(part, Refusal):
                    self._log_refusal(context, part, state)
                yield part

    async def _try_targets(
        self, state: ForwardingState
    ) -> AsyncGenerator[ResponsePart]:
        can_retry = True
        while can_retry:
            assignment = await self._request_assignment(state)
            if isinstance(assignment, Refusal):
                yield state.refuse_retry(assignment)
                return
            async with aclosing(self._attempt(state, assignment)) as parts:
                async for part in parts:
                    yield part
            can_retry = state.can_retry(self.clock.now())
        if state.final_response is not None:
            yield state.final_response

    async def _request_assignment(
        self, state: ForwardingState
    ) -> Assignment | Refusal:
        reply_future = asyncio.get_running_loop().create_future()
        state.ends_at = self.ends_at
        try:
            self.dispatcher.put(
                Envelope(state.make_placement_request(), reply_future)
            )
        except MailboxFullError:
            # After a failed attempt its outcome is reported instead.
            return Refusal(
                code='no_room',
                detail='the instance is full',
                retry_after_s=FULL_RETRY_AFTER_S,
            )
        try:
            reply: Assignment | Refusal = await reply_future
        except asyncio.CancelledError:
            # The dispatcher may have assigned a target while the caller left.
            if not reply_future.cancelled() and isinstance(
                reply_future.result(), Assignment
            ):
                self._release(reply_future.result(), AttemptResult(), None)
            raise
        return reply

    async def _attempt(
        self, state: ForwardingState, assignment: Assignment
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        with self._record_attempt(state, assignment) as result:
            state.last_refusal = None
            remaining_s = state.deadline - self.clock.now()
            response_parts = self.targets.send(
                assignment.target,
                state.outgoing_request,
                state.body,
                team=state.context.team,
                timeout_s=remaining_s,
                new_connection=not state.is_idempotent,
            )
            async with aclosing(response_parts) as parts:
                async for part in parts:
                    result.record_part(part, state)
                    self._announce_stream(part, assignment, result)
                    yield part

    def _announce_stream(
        self,
        part: ResponseHead | ResponseChunk,
        assignment: Assignment,
        result: AttemptResult,
    ) -> None:
        """Tell the dispatcher at once what the head of a stream says."""
        if isinstance(part, ResponseHead) and part.body is None:
            self.dispatcher.post_always(
                ResponseStarted(assignment=assignment, signals=result.signals)
            )
            result.signals = None

    @contextmanager
    def _record_attempt(
        self, state: ForwardingState, assignment: Assignment
    ) -> Generator[AttemptResult]:
        """Record how an attempt ends and release its target.

        Suppress a TargetError, so that another target may be tried, unless the
        head of a response to be passed on was received.
        """
        result = AttemptResult()
        span = self.tracer.begin('target.request', state.span)
        try:
            yield result
            result.outcome = 'answered'
        except TargetError as error:
            result.outcome = classify_error(error)
            result.signals = error.signals or result.signals
            state.record_failure(assignment, error)
            if result.has_head and not isinstance(error, TargetFailedError):
                raise
        finally:
            self._release(assignment, result, span)
            self._log_attempt(state, assignment, result)

    def _release(
        self, assignment: Assignment, result: AttemptResult, span: Any
    ) -> None:
        if span is not None:
            name = assignment.target.name
            self.tracer.end(span, target=name, outcome=result.outcome)
        self.dispatcher.post_always(
            TargetRelease(
                assignment=assignment,
                outcome=result.outcome,
                load=result.load,
                signals=result.signals,
            )
        )

    def _log_attempt(
        self,
        state: ForwardingState,
        assignment: Assignment,
        result: AttemptResult,
    ) -> None:
        context = state.context
        log = self.journal.note_failure
        if result.outcome == 'answered':
            log = self.journal.note_success
        failure = state.last_refusal
        log(
            'exchange',
            request=context.request.request_id,
            target=assignment.target.name,
            service=context.service,
            object=assignment.request.object_key,
            rank=assignment.rank,
            outcome=result.outcome,
            status=result.status,
            cause=failure.detail if failure else None,
            took_s=round(self.clock.now() - assignment.assigned_at, 4),
            expected_s=round(assignment.expected_s, 4),
            is_warm=assignment.is_warm,
            attempt=state.reached_attempts,
            version=context.configuration_version,
        )

    def _log_refusal(
        self,
        context: RequestContext,
        refusal: Refusal,
        state: ForwardingState,
    ) -> None:
        self.journal.note_failure(
            'refused',
            request=context.request.request_id,
            code=refusal.code,
            detail=refusal.detail,
            not_run=refusal.not_run,
            route=context.route.name if context.route else None,
            team=context.team,
            tries=state.reached_attempts,
            no_other=state.no_target_detail,
            after_s=round(self.clock.now() - context.request.received_at, 4),
            version=context.configuration_version,
        )


async def _read_body(
    state: ForwardingState, body: BodySource
) -> Refusal | None:
    """Read the body into the state; return a refusal if that fails."""
    try:
        state.body = await body.read(state.context.max_body_bytes)
    except BodyTooLargeError as error:
        return Refusal(code='body_too_large', detail=str(error))
    except BodyCutError as error:
        return Refusal(code='bad_request', detail=str(error))
    except BudgetFullError as error:
        return Refusal(
            code='no_room',
            detail=str(error),
            retry_after_s=FULL_RETRY_AFTER_S,
        )
    return None
