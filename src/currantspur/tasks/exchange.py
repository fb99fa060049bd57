"""Carry one request: admit, take a slot, forward, give the slot back."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator
from uuid import uuid4

from opentelemetry.trace import Tracer

from currantspur.errors import TargetError
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    Assignment,
    Outgoing,
    Passage,
    Refusal,
    SlotRelease,
    SlotRequest,
    Target,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.ledger import Ledger
from currantspur.tasks.mailbox import Mailbox

Part = AnswerHead | AnswerChunk | Refusal


class TargetPort(ABC):
    """Send requests to targets."""

    __slots__ = ()

    @abstractmethod
    def send(
        self,
        target: Target,
        outgoing: Outgoing,
        body: AsyncIterator[bytes],
        *,
        timeout_s: float,
    ) -> AsyncIterator[AnswerHead | AnswerChunk]:
        """Yield the answer; raise TargetError where it fails or is cut."""


class Exchange:
    """Take requests through admission, slots and targets."""

    __slots__ = ('admission', 'clock', 'ledger', 'pool', 'targets', 'tracer')

    def __init__(
        self,
        *,
        admission: Mailbox,
        pool: Mailbox,
        ledger: Ledger,
        targets: TargetPort,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        self.admission = admission
        self.pool = pool
        self.ledger = ledger
        self.targets = targets
        self.clock = clock
        self.tracer = tracer

    async def run(
        self, arrival: Arrival, outgoing: Outgoing, body: AsyncIterator[bytes]
    ) -> AsyncGenerator[Part]:
        """Yield a refusal, or the head and the chunks of the whole answer."""
        with self.tracer.start_as_current_span('entry.admit'):
            passage = await self.admission.ask(arrival)
        if passage.refusal is not None:
            yield passage.refusal
            return
        with self.tracer.start_as_current_span('entry.queue'):
            assignment = await self.pool.ask(_want_slot(passage))
        if isinstance(assignment, Refusal):
            yield assignment
            return
        refusal = await self._claim(passage)
        if refusal is not None:
            self._release(assignment, succeeded=True)
            yield refusal
            return
        async for part in self._forward(passage, assignment, outgoing, body):
            yield part

    async def _claim(self, passage: Passage) -> Refusal | None:
        key = passage.arrival.idempotency_key
        if passage.route is None or passage.route.idempotent or key is None:
            return None
        with self.tracer.start_as_current_span('entry.claim'):
            return await self.ledger.claim(
                team=passage.team or '',
                idempotency_key=key,
                attempt_id=uuid4().hex,
            )

    def _release(self, assignment: Assignment, *, succeeded: bool) -> None:
        self.pool.post(
            SlotRelease(assignment=assignment, succeeded=succeeded),
        )

    async def _forward(
        self,
        passage: Passage,
        assignment: Assignment,
        outgoing: Outgoing,
        body: AsyncIterator[bytes],
    ) -> AsyncGenerator[Part]:
        succeeded = False
        started = False
        target = assignment.target
        left_s = (passage.deadline or 0.0) - self.clock.now()
        try:
            with self.tracer.start_as_current_span('target.request') as span:
                span.set_attribute('target', target.name)
                async for part in self.targets.send(
                    target, outgoing, body, timeout_s=left_s
                ):
                    started = True
                    yield part
            succeeded = True
        except TargetError as error:
            if started:
                raise
            yield _refuse_failed(target, error)
        finally:
            self._release(assignment, succeeded=succeeded)


def _want_slot(passage: Passage) -> SlotRequest:
    if passage.route is None or passage.deadline is None:
        raise AssertionError('an admitted passage has a route')
    return SlotRequest(
        request_id=passage.arrival.request_id,
        service=passage.route.service,
        team=passage.team,
        deadline=passage.deadline,
    )


def _refuse_failed(target: Target, error: TargetError) -> Refusal:
    return Refusal(
        code='outcome_unknown' if error.sent else 'target_failed',
        detail=f'{target.name}: {error}',
        not_run=not error.sent,
    )
