"""Serve callers over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any
from uuid import uuid4

from aiohttp import StreamReader, web

from currantspur.errors import (
    BodyCutError,
    BodyTooLargeError,
    MailboxFullError,
    TargetError,
    TaskFailedError,
)
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Arrival,
    Outgoing,
    Refusal,
)
from currantspur.tasks.carrier import Carrier, Part
from currantspur.tasks.clock import Clock
from currantspur.tasks.ports import BodySource
from currantspur.wire.answers import (
    close_response,
    encode_refusal,
    open_response,
)
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import (
    KEY_HEADER,
    KEY_SCHEME,
    Names,
    keep_headers,
)

MS_PER_S = 1000.0
DIGITS_LIMIT = 9
ID_LIMIT = 128


class Listener:
    """Translate between HTTP and the messages of requests."""

    __slots__ = (
        'carrier',
        'clock',
        'is_leaving',
        'left_out',
        'metrics',
        'names',
        'running',
    )

    def __init__(
        self,
        *,
        carrier: Carrier,
        clock: Clock,
        metrics: Metrics,
        names: Names,
    ) -> None:
        self.carrier = carrier
        self.clock = clock
        self.metrics = metrics
        self.names = names
        self.left_out = names.list_own()
        self.is_leaving = False
        self.running: set[asyncio.Task[Any]] = set()

    async def carry(self, request: web.BaseRequest) -> web.StreamResponse:
        """Carry a request to a target and its answer back."""
        task = asyncio.current_task()
        if task is None:
            raise AssertionError('a handler runs in a task')
        self.running.add(task)
        try:
            response = await self._carry(request)
        finally:
            self.running.discard(task)
        if self.is_leaving and not response.prepared:
            response.force_close()
        return response

    async def _carry(self, request: web.BaseRequest) -> web.StreamResponse:
        began_at = self.clock.now()
        request_id = read_request_id(request, self.names)
        parts = self.carrier.run(
            self._read_arrival(request, request_id, began_at),
            self._read_outgoing(request, request_id),
            HttpBody(request),
        )
        try:
            return await self._answer(request, request_id, parts)
        finally:
            await parts.aclose()
            self.metrics.seconds.observe(self.clock.now() - began_at)

    def _read_arrival(
        self, request: web.BaseRequest, request_id: str, at: float
    ) -> Arrival:
        headers = request.headers
        shown = headers.get(KEY_HEADER, '')
        budget = headers.get(self.names.budget_ms)
        return Arrival(
            request_id=request_id,
            at=at,
            method=request.method,
            host=headers.get('Host', ''),
            path=request.raw_path,
            key=read_key(shown),
            object_key=headers.get(self.names.object_key),
            budget_s=read_budget(budget),
        )

    def _read_outgoing(
        self, request: web.BaseRequest, request_id: str
    ) -> Outgoing:
        kept = list(keep_headers(request.headers.items(), self.left_out))
        if self.names.request_id not in request.headers:
            kept.append((self.names.request_id, request_id))
        return Outgoing(
            request_id=request_id,
            method=request.method,
            path=request.raw_path,
            headers=tuple(kept),
        )

    async def _answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        parts: AsyncGenerator[Part],
    ) -> web.StreamResponse:
        first = await _take_first(parts)
        if isinstance(first, Refusal):
            self.metrics.requests.labels(first.code).inc()
            return encode_refusal(first, request_id, self.names)
        if not isinstance(first, AnswerHead):
            raise AssertionError('an answer begins with its head')
        self.metrics.requests.labels('answered').inc()
        if first.body is not None:
            return close_response(first)
        return await self._stream(request, first, parts)

    async def _stream(
        self,
        request: web.BaseRequest,
        head: AnswerHead,
        parts: AsyncGenerator[Part],
    ) -> web.StreamResponse:
        response = open_response(head)
        if self.is_leaving:
            response.force_close()
        await response.prepare(request)
        try:
            async for part in parts:
                if isinstance(part, AnswerChunk):
                    await response.write(part.body)
        except TargetError:
            self.metrics.requests.labels('cut').inc()
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response


async def _take_first(parts: AsyncGenerator[Part]) -> Part:
    try:
        return await anext(parts)
    except MailboxFullError:
        return Refusal(
            code='no_room', detail='the instance is full', retry_after_s=1.0
        )
    except TaskFailedError:
        return Refusal(
            code='outcome_unknown', detail='the instance failed', not_run=False
        )


def read_request_id(request: web.BaseRequest, names: Names) -> str:
    """Return the caller's request id where it is usable, else a new one."""
    given = request.headers.get(names.request_id, '')
    is_usable = given.isascii() and given.isprintable()
    if is_usable and 0 < len(given) <= ID_LIMIT:
        return given
    return uuid4().hex


def read_key(shown: str) -> str | None:
    """Return the key of an authorization header of the right scheme."""
    if shown[: len(KEY_SCHEME)].lower() != KEY_SCHEME.lower():
        return None
    return shown[len(KEY_SCHEME) :].strip()


def read_budget(text: str | None) -> float | None:
    """Return the seconds that a caller waits; None where it does not say."""
    if text is None or not text.isascii() or not text.isdecimal():
        return None
    return int(text[:DIGITS_LIMIT]) / MS_PER_S


class HttpBody(BodySource):
    """Read the body of an HTTP request."""

    __slots__ = ('request',)

    def __init__(self, request: web.BaseRequest) -> None:
        self.request = request

    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body; raise BodyTooLargeError or BodyCutError."""
        if not self.request.body_exists:
            return b''
        announced = self.request.content_length
        if announced is not None and announced > limit_bytes:
            raise BodyTooLargeError(f'{announced} bytes')
        try:
            return await _read_bounded(self.request.content, limit_bytes)
        except (web.RequestPayloadError, OSError) as error:
            raise BodyCutError('the body was cut') from error


async def _read_bounded(content: StreamReader, limit_bytes: int) -> bytes:
    body = bytearray()
    while chunk := await content.readany():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f'more than {limit_bytes} bytes')
    return bytes(body)
