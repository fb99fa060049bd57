"""Send one admitted request to targets: slot, check, forward, retry."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, get_running_loop
from collections.abc import AsyncGenerator, AsyncIterator, Generator
from contextlib import aclosing, contextmanager

from opentelemetry.trace import Tracer

from currantspur.decisions.retries import may_send_again
from currantspur.errors import (
    TargetError,
    TargetShedError,
    TargetTimeoutError,
)
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Assignment,
    Confirmation,
    Outgoing,
    Passage,
    Refusal,
    SlotRelease,
    SlotRequest,
    Target,
)
from currantspur.messages.traffic import Verdict
from currantspur.tasks.body import RequestBody
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.tracing import open_span

AnswerPart = AnswerHead | AnswerChunk
Part = AnswerPart | Refusal
SLOW_S = 1.0


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
        once: bool = False,
    ) -> AsyncGenerator[AnswerPart]:
        """Yield the answer; raise TargetError where it fails or is cut.

        With once, use a new connection, which tells surely what was sent.
        """


class Attempt:
    """Hold what is known of one request while it is being sent."""

    __slots__ = (
        'body',
        'failure',
        'head_seen',
        'is_final',
        'is_sending',
        'number',
        'outgoing',
        'passage',
        'tried',
        'was_sent',
    )

    def __init__(
        self, *, passage: Passage, outgoing: Outgoing, body: RequestBody
    ) -> None:
        self.passage = passage
        self.outgoing = outgoing
        self.body = body
        self.number = 0
        self.tried: frozenset[str] = frozenset()
        self.failure: Refusal | None = None
        self.is_final = False
        self.is_sending = False
        self.was_sent = False
        self.head_seen = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether a byte may have reached a target."""
        return self.is_sending or self.was_sent

    @property
    def is_sent_whole(self) -> bool:
        """Tell whether a target may run it without anything more of us."""
        return self.is_sending and self.body.is_whole

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the route says that requests may run twice."""
        route = self.passage.route
        return route is not None and route.idempotent

    @property
    def deadline(self) -> float:
        """When the caller's time is up, in monotonic seconds."""
        return self.passage.deadline or 0.0

    def begin(self) -> None:
        """Note that bytes may leave from now on."""
        self.is_sending = True

    def refuse(self, refusal: Refusal) -> None:
        """Note why the request may not be sent at all any more."""
        refusal.not_run = not self.was_sent
        self.failure = refusal
        self.is_final = True

    def fail(self, target: Target, error: TargetError) -> None:
        """Note why a target gave no answer."""
        self.is_sending = False
        self.was_sent = self.was_sent or error.sent
        self.tried |= {target.name}
        self.failure = Refusal(
            code='outcome_unknown' if self.was_sent else 'target_failed',
            detail=f'{target.name}: {error}',
            not_run=not self.was_sent,
        )

    def describe(self) -> SlotRequest:
        """Return what to ask the target pool for."""
        if self.passage.route is None:
            raise AssertionError('an admitted passage has a route')
        return SlotRequest(
            request_id=self.passage.arrival.request_id,
            service=self.passage.route.service,
            team=self.passage.team,
            deadline=self.deadline,
            without=self.tried,
            attempt=self.number,
        )


class Attempts:
    """Carry admitted requests to targets, again where that is safe."""

    __slots__ = ('admission', 'clock', 'pool', 'targets', 'tracer')

    def __init__(
        self,
        *,
        admission: Mailbox,
        pool: Mailbox,
        targets: TargetPort,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        self.admission = admission
        self.pool = pool
        self.targets = targets
        self.clock = clock
        self.tracer = tracer

    async def run(self, attempt: Attempt) -> AsyncGenerator[Part]:
        """Yield a refusal, or the whole answer of the first that gives one."""
        while True:
            assignment = await self._take_slot(attempt)
            if isinstance(assignment, Refusal):
                yield attempt.failure or assignment
                return
            async with aclosing(self._use(attempt, assignment)) as parts:
                async for part in parts:
                    yield part
            if not self._may_go_on(attempt):
                break
            attempt.number += 1
        if attempt.failure is not None:
            yield attempt.failure

    def _may_go_on(self, attempt: Attempt) -> bool:
        if attempt.failure is None or attempt.is_final:
            return False
        return may_send_again(
            idempotent=attempt.is_idempotent,
            sent=attempt.was_sent,
            replayable=attempt.body.is_replayable,
            left_s=attempt.deadline - self.clock.now(),
        )

    async def _take_slot(self, attempt: Attempt) -> Assignment | Refusal:
        with open_span(self.tracer, 'entry.queue'):
            letter = Letter(
                attempt.describe(), get_running_loop().create_future()
            )
            self.pool.put(letter)
            return await self._wait_for_slot(letter)

    async def _wait_for_slot(self, letter: Letter) -> Assignment | Refusal:
        reply = letter.reply
        if reply is None:
            raise AssertionError('a slot request wants a reply')
        try:
            given: Assignment | Refusal = await reply
        except CancelledError:
            # The slot may have been given while the caller left.
            if not reply.cancelled() and isinstance(reply.result(), Assignment):
                self._release(reply.result(), 'unknown')
            raise
        return given

    def _release(self, assignment: Assignment, verdict: Verdict) -> None:
        self.pool.post(SlotRelease(assignment=assignment, verdict=verdict))

    async def _use(
        self, attempt: Attempt, assignment: Assignment
    ) -> AsyncGenerator[AnswerPart]:
        with self._hold(attempt, assignment):
            attempt.failure = await self._confirm(attempt)
            if attempt.failure is not None:
                return
            async with aclosing(self._send(attempt, assignment)) as parts:
                async for part in parts:
                    attempt.head_seen = True
                    yield part

    @contextmanager
    def _hold(
        self, attempt: Attempt, assignment: Assignment
    ) -> Generator[None]:
        verdict: Verdict = 'unknown'
        try:
            yield
            verdict = 'unknown' if attempt.failure else 'succeeded'
        except TargetError as error:
            verdict = self._judge(attempt, assignment, error)
            attempt.fail(assignment.target, error)
            if attempt.head_seen:
                raise
        finally:
            self._release(assignment, verdict)

    async def _confirm(self, attempt: Attempt) -> Refusal | None:
        refusal: Refusal | None = await self.admission.ask(
            Confirmation(passage=attempt.passage)
        )
        if refusal is not None:
            attempt.refuse(refusal)
        return refusal

    def _judge(
        self, attempt: Attempt, assignment: Assignment, error: TargetError
    ) -> Verdict:
        if isinstance(error, TargetShedError):
            return 'shed'
        if attempt.body.is_cut:
            return 'unknown'
        held_s = self.clock.now() - assignment.taken_at
        if isinstance(error, TargetTimeoutError) and held_s < SLOW_S:
            return 'unknown'
        return 'failed'

    async def _send(
        self, attempt: Attempt, assignment: Assignment
    ) -> AsyncGenerator[AnswerPart]:
        target = assignment.target
        left_s = attempt.deadline - self.clock.now()
        attempt.begin()
        with open_span(self.tracer, 'target.request') as span:
            span.set_attribute('target', target.name)
            sending = self.targets.send(
                target,
                attempt.outgoing,
                attempt.body.stream(),
                timeout_s=left_s,
                once=not attempt.is_idempotent,
            )
            async with aclosing(sending) as parts:
                async for part in parts:
                    yield part
