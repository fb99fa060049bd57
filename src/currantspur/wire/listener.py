"""Serve callers over HTTP: look-ups and requests."""

import asyncio
import socket
from collections.abc import AsyncGenerator
from typing import Any
from uuid import uuid4

from aiohttp import ClientError, StreamReader, web
from aiohttp.typedefs import Handler
from opentelemetry.context import Context
from opentelemetry.propagate import extract, inject
from opentelemetry.trace import NoOpTracer, Tracer

from currantspur.errors import (
    MailboxFullError,
    TargetError,
    TaskFailedError,
)
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    LookupQuery,
    Outgoing,
    Refusal,
)
from currantspur.tasks import (
    BodySource,
    Clock,
    Exchange,
    Mailbox,
    RequestBody,
)
from currantspur.tasks.attempts import Part
from currantspur.tasks.tracing import open_span
from currantspur.wire import headers as names
from currantspur.wire.answers import (
    close_response,
    encode_lookup,
    is_short,
    open_response,
)
from currantspur.wire.errors import encode_refusal
from currantspur.wire.telemetry import Metrics

HEADER_LIMIT_BYTES = 16_384
MS_PER_S = 1000.0
LOOKUP_PATH = '/-/entries'
ID_LIMIT = 128
DIGITS_LIMIT = 12


class Listener:
    """Translate between HTTP and the messages of look-ups and requests."""

    __slots__ = (
        'clock',
        'exchange',
        'is_leaving',
        'metrics',
        'running',
        'steering',
        'tracer',
    )

    def __init__(
        self,
        *,
        exchange: Exchange,
        steering: Mailbox,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self.exchange = exchange
        self.steering = steering
        self.clock = clock
        self.metrics = metrics
        self.tracer = tracer
        self.is_leaving = False
        self.running: set[asyncio.Task[Any]] = set()

    def cut(self) -> None:
        """Cancel every request that still runs."""
        for task in self.running:
            task.cancel()
        self.exchange.completion.cut()

    @property
    def is_busy(self) -> bool:
        """Tell whether any request still runs."""
        return bool(self.running or self.exchange.completion.jobs)

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(
            middlewares=[self.follow],
            handler_args={
                'max_line_size': HEADER_LIMIT_BYTES,
                'max_field_size': HEADER_LIMIT_BYTES,
            },
        )
        application.router.add_get(LOOKUP_PATH, self.look_up)
        application.router.add_route('*', '/{path:.*}', self.carry)
        return application

    @web.middleware
    async def follow(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count a request as running; close its connection when leaving."""
        task = asyncio.current_task()
        if task is None:
            raise AssertionError('a handler runs in a task')
        self.running.add(task)
        try:
            response = await handler(request)
        finally:
            self.running.discard(task)
        if self.is_leaving and not response.prepared:
            response.force_close()
        return response

    async def look_up(self, request: web.Request) -> web.Response:
        """Answer which entries a client should use."""
        query = request.query
        try:
            client = pack_address(query.get('client') or request.remote or '')
        except OSError:
            return encode_refusal(
                Refusal(code='bad_request', detail='client: not an IP number'),
                read_request_id(request),
            )
        self.metrics.lookups.inc()
        answer = await self.steering.ask(
            LookupQuery(
                at=self.clock.now(),
                client=client,
                service=query.get('service'),
                team=query.get('team'),
            )
        )
        return encode_lookup(answer)

    async def carry(self, request: web.Request) -> web.StreamResponse:
        """Carry a request to a target and its answer back."""
        began_at = self.clock.now()
        request_id = read_request_id(request)
        context = self._read_context(request)
        with open_span(self.tracer, 'entry.request', context):
            try:
                arrival = read_arrival(request, request_id, began_at)
            except ValueError as error:
                refusal = Refusal(code='bad_request', detail=str(error))
                return self._refuse(refusal, request_id)
            outgoing = read_outgoing(request, request_id)
            body = RequestBody(
                HttpBody(request.content), is_empty=not request.body_exists
            )
            parts = self.exchange.run(arrival, outgoing, body)
            try:
                return await self._answer(request, request_id, parts)
            finally:
                await parts.aclose()
                self.metrics.seconds.observe(self.clock.now() - began_at)

    def _read_context(self, request: web.Request) -> Context | None:
        if isinstance(self.tracer, NoOpTracer):
            return None
        return extract(request.headers)

    async def _answer(
        self,
        request: web.Request,
        request_id: str,
        parts: AsyncGenerator[Part],
    ) -> web.StreamResponse:
        try:
            first = await anext(parts)
        except MailboxFullError:
            first = Refusal(code='overloaded', detail='the instance is full')
        except TaskFailedError:
            first = Refusal(
                code='outcome_unknown',
                detail='the instance failed',
                not_run=False,
            )
        if isinstance(first, Refusal):
            return self._refuse(first, request_id)
        if not isinstance(first, AnswerHead):
            raise AssertionError('an answer begins with its head')
        if is_short(request, first):
            return await self._answer_short(request_id, first, parts)
        response = open_response(first, request_id)
        if self.is_leaving:
            response.force_close()
        await response.prepare(request)
        try:
            async for part in parts:
                if isinstance(part, AnswerChunk):
                    await response.write(part.body)
        except TargetError:
            self._cut(request)
            return response
        await response.write_eof()
        self.metrics.requests.labels('answered').inc()
        return response

    async def _answer_short(
        self, request_id: str, head: AnswerHead, parts: AsyncGenerator[Part]
    ) -> web.StreamResponse:
        body = bytearray()
        try:
            async for part in parts:
                if isinstance(part, AnswerChunk):
                    body += part.body
        except TargetError as error:
            return self._refuse(
                Refusal(
                    code='outcome_unknown', detail=str(error), not_run=False
                ),
                request_id,
            )
        self.metrics.requests.labels('answered').inc()
        return close_response(head, request_id, bytes(body))

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self.metrics.requests.labels(refusal.code).inc()
        return encode_refusal(refusal, request_id)

    def _cut(self, request: web.Request) -> None:
        self.metrics.requests.labels('cut').inc()
        if request.transport is not None:
            request.transport.abort()


def pack_address(text: str) -> bytes:
    """Return the 4 or 16 bytes of an address; raise OSError for others."""
    family = socket.AF_INET6 if ':' in text else socket.AF_INET
    return socket.inet_pton(family, text)


def read_request_id(request: web.Request) -> str:
    """Return the caller's request id where it is usable, else a new one."""
    given = request.headers.get(names.REQUEST_ID_HEADER, '')
    if is_identifier(given):
        return given
    return uuid4().hex


def read_arrival(request: web.Request, request_id: str, at: float) -> Arrival:
    """Describe a request; raise ValueError for a malformed header."""
    shown = request.headers.get(names.KEY_HEADER)
    if shown is not None and not shown.startswith(names.KEY_SCHEME):
        raise ValueError('Authorization: expected a Bearer key')
    timeout = request.headers.get(names.TIMEOUT_HEADER)
    if timeout is not None and not is_whole(timeout):
        raise ValueError('X-Request-Timeout-Ms: expected a whole number')
    idempotency_key = request.headers.get(names.IDEMPOTENCY_HEADER)
    if idempotency_key is not None and not is_identifier(idempotency_key):
        raise ValueError(
            f'Idempotency-Key: expected 1 to {ID_LIMIT} printable characters'
        )
    return Arrival(
        request_id=request_id,
        at=at,
        method=request.method,
        path=request.raw_path,
        key=shown.removeprefix(names.KEY_SCHEME) if shown else None,
        idempotency_key=idempotency_key,
        deadline=at + int(timeout) / MS_PER_S if timeout else None,
    )


def is_identifier(text: str) -> bool:
    """Tell whether a text can name a request in rows, logs and traces."""
    return text.isascii() and text.isprintable() and 0 < len(text) <= ID_LIMIT


def is_whole(text: str) -> bool:
    """Tell whether a text is a whole number of few digits."""
    return text.isascii() and text.isdecimal() and len(text) <= DIGITS_LIMIT


def read_outgoing(request: web.Request, request_id: str) -> Outgoing:
    """Describe what the target gets: never the caller's key."""
    kept = dict(
        names.keep_headers(request.headers.items(), names.NOT_FOR_TARGETS),
    )
    kept[names.REQUEST_ID_HEADER] = request_id
    inject(kept)
    return Outgoing(
        method=request.method,
        path=request.raw_path,
        headers=tuple(kept.items()),
    )


class HttpBody(BodySource):
    """Read the body of an HTTP request as it comes."""

    __slots__ = ('content',)

    def __init__(self, content: StreamReader) -> None:
        self.content = content

    async def read(self) -> bytes:
        """Return the next piece, empty at the end; raise ConnectionError."""
        try:
            return await self.content.readany()
        except (ClientError, OSError, web.RequestPayloadError) as error:
            raise ConnectionResetError('body cut') from error
