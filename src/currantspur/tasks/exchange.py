"""Carry one request: admit, claim, send, note what came of the claim."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from uuid import uuid4

from opentelemetry.trace import Tracer

from currantspur.decisions.claims import fingerprint_request
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    Claim,
    ClaimRequest,
    ClaimResult,
    Outgoing,
    Passage,
    Refusal,
    StoredAnswer,
)
from currantspur.tasks.attempts import Attempt, Attempts, Part
from currantspur.tasks.body import RequestBody
from currantspur.tasks.completion import Completion
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.recording import Recording
from currantspur.tasks.tracing import open_span

Claimed = Claim | StoredAnswer | Refusal


class Exchange:
    """Take requests through admission, claims and targets."""

    __slots__ = ('admission', 'attempts', 'claims', 'completion', 'tracer')

    def __init__(
        self,
        *,
        admission: Mailbox,
        claims: Mailbox,
        attempts: Attempts,
        tracer: Tracer,
    ) -> None:
        self.admission = admission
        self.claims = claims
        self.attempts = attempts
        self.completion = Completion()
        self.tracer = tracer

    async def run(
        self, arrival: Arrival, outgoing: Outgoing, body: RequestBody
    ) -> AsyncGenerator[Part]:
        """Yield a refusal, or the head and the chunks of the whole answer."""
        with open_span(self.tracer, 'entry.admit'):
            passage = await self.admission.ask(arrival)
        if passage.refusal is not None:
            yield passage.refusal
            return
        attempt = Attempt(passage=passage, outgoing=outgoing, body=body)
        claim = None
        if needs_claim(passage):
            claim = await self._claim(passage)
        async with aclosing(self._answer(attempt, claim)) as parts:
            async for part in parts:
                yield part

    async def _answer(
        self, attempt: Attempt, claim: Claimed | None
    ) -> AsyncGenerator[Part]:
        if isinstance(claim, Refusal):
            yield claim
        elif isinstance(claim, StoredAnswer):
            yield AnswerHead(status=claim.status, headers=claim.headers)
            yield AnswerChunk(body=claim.body)
        else:
            parts = self.attempts.run(attempt)
            if claim is not None:
                parts = self.completion.run(
                    self._record(attempt, claim, parts),
                    lambda: attempt.is_sent_whole,
                )
            async with aclosing(parts) as whole:
                async for part in whole:
                    yield part

    async def _claim(self, passage: Passage) -> Claimed:
        arrival = passage.arrival
        left_s = (passage.deadline or 0.0) - arrival.at
        request = ClaimRequest(
            team=passage.team or '',
            idempotency_key=arrival.idempotency_key or '',
            attempt_id=uuid4().hex,
            fingerprint=fingerprint_request(arrival.method, arrival.path),
        )
        with open_span(self.tracer, 'entry.claim'):
            try:
                async with asyncio.timeout(left_s):
                    claimed: Claimed = await self.claims.ask(request)
            except TimeoutError:
                return Refusal(
                    code='deadline_passed', detail='no claim was made in time'
                )
        return claimed

    async def _record(
        self, attempt: Attempt, claim: Claim, parts: AsyncGenerator[Part]
    ) -> AsyncGenerator[Part]:
        recording = Recording()
        is_whole = False
        try:
            async with aclosing(parts) as passing:
                async for part in passing:
                    recording.add(part)
                    yield part
            is_whole = attempt.failure is None
        finally:
            if not attempt.may_have_run:
                self.claims.post(ClaimResult(claim=claim))
            elif is_whole:
                self._keep(claim, recording)

    def _keep(self, claim: Claim, recording: Recording) -> None:
        answer = recording.finish()
        if answer is not None:
            self.claims.post(ClaimResult(claim=claim, answer=answer))


def needs_claim(passage: Passage) -> bool:
    """Tell whether a request must not run twice under its key."""
    route = passage.route
    has_key = passage.arrival.idempotency_key is not None
    return route is not None and not route.idempotent and has_key
