"""Handle the requests of callers over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any
from uuid import uuid4

from aiohttp import web

from currantspur.errors import (
    BodyCutError,
    BodyTooLargeError,
    MailboxFullError,
    TargetError,
    TaskFailedError,
)
from currantspur.messages import (
    IncomingRequest,
    OutgoingRequest,
    Refusal,
    ResponseChunk,
    ResponseHead,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.forwarder import RequestForwarder, ResponsePart
from currantspur.tasks.ports import BodySource
from currantspur.wire.bodies import read_bounded
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import (
    KEY_HEADER,
    KEY_SCHEME,
    ProtocolNames,
    filter_forwarded_headers,
)
from currantspur.wire.responses import (
    encode_refusal,
    make_buffered_response,
    make_streaming_response,
)

MS_PER_S = 1000.0
# Further digits of a timeout are ignored.
MAX_TIMEOUT_DIGITS = 9
MAX_REQUEST_ID_LENGTH = 128


class RequestHandler:
    """Translate between HTTP and the messages of a request."""

    __slots__ = (
        'active_requests',
        'clock',
        'forwarder',
        'is_draining',
        'metrics',
        'names',
        'stripped_headers',
    )

    def __init__(
        self,
        *,
        forwarder: RequestForwarder,
        clock: Clock,
        metrics: Metrics,
        names: ProtocolNames,
    ) -> None:
        self.forwarder = forwarder
        self.clock = clock
        self.metrics = metrics
        self.names = names
        self.stripped_headers = names.list_stripped_headers()
        self.is_draining = False
        self.active_requests: set[asyncio.Task[Any]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forward a request to a target and return the response.

        While the instance drains, the connection is closed after the response.
        """
        task = asyncio.current_task()
        if task is None:
            raise AssertionError('handle() must run in a task')
        self.active_requests.add(task)
        try:
            response = await self._forward(request)
        finally:
            self.active_requests.discard(task)
        if self.is_draining and not response.prepared:
            response.force_close()
        return response

    async def _forward(self, request: web.BaseRequest) -> web.StreamResponse:
        started_at = self.clock.now()
        request_id = read_request_id(request, self.names)
        parts = self.forwarder.run(
            self._parse_incoming_request(request, request_id, started_at),
            self._make_outgoing_request(request, request_id),
            HttpBody(request),
        )
        try:
            return await self._respond(request, request_id, parts)
        finally:
            await parts.aclose()
            self.metrics.request_seconds.observe(self.clock.now() - started_at)

    def _parse_incoming_request(
        self, request: web.BaseRequest, request_id: str, received_at: float
    ) -> IncomingRequest:
        headers = request.headers
        authorization = headers.get(KEY_HEADER, '')
        timeout_ms = headers.get(self.names.timeout_ms_header)
        return IncomingRequest(
            request_id=request_id,
            received_at=received_at,
            method=request.method,
            host=headers.get('Host', ''),
            path=request.raw_path,
            api_key=parse_bearer_key(authorization),
            object_key=headers.get(self.names.object_key_header),
            timeout_s=parse_timeout_s(timeout_ms),
        )

    def _make_outgoing_request(
        self, request: web.BaseRequest, request_id: str
    ) -> OutgoingRequest:
        forwarded = list(
            filter_forwarded_headers(
                request.headers.items(), self.stripped_headers
            )
        )
        # Targets return the ID as the caller sent it, usable in logs or not.
        forwarded_id = request.headers.get(self.names.request_id_header)
        if forwarded_id is None:
            forwarded.append((self.names.request_id_header, request_id))
        return OutgoingRequest(
            request_id=request_id if forwarded_id is None else forwarded_id,
            method=request.method,
            path=request.raw_path,
            headers=tuple(forwarded),
        )

    async def _respond(
        self,
        request: web.BaseRequest,
        request_id: str,
        parts: AsyncGenerator[ResponsePart],
    ) -> web.StreamResponse:
        first = await _read_first_part(parts)
        if isinstance(first, Refusal):
            self.metrics.requests.labels(first.code).inc()
            return encode_refusal(first, request_id, self.names)
        if not isinstance(first, ResponseHead):
            raise AssertionError('a response must begin with its head')
        self.metrics.requests.labels('answered').inc()
        if first.body is not None:
            return make_buffered_response(first)
        return await self._stream(request, first, parts)

    async def _stream(
        self,
        request: web.BaseRequest,
        head: ResponseHead,
        parts: AsyncGenerator[ResponsePart],
    ) -> web.StreamResponse:
        response = make_streaming_response(head)
        if self.is_draining:
            response.force_close()
        await response.prepare(request)
        try:
            async for part in parts:
                if isinstance(part, ResponseChunk):
                    await response.write(part.body)
        except TargetError:
            self.metrics.requests.labels('cut').inc()
            # Shows the caller that the body is incomplete.
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response


async def _read_first_part(parts: AsyncGenerator[ResponsePart]) -> ResponsePart:
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


def read_request_id(request: web.BaseRequest, names: ProtocolNames) -> str:
    """Return the request ID of the caller, or a new one.

    An ID that is empty, too long or not printable ASCII is replaced.
    """
    request_id = request.headers.get(names.request_id_header, '')
    is_usable = request_id.isascii() and request_id.isprintable()
    if is_usable and 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH:
        return request_id
    return uuid4().hex


def parse_bearer_key(authorization: str) -> str | None:
    """Return the API key; None if the header is absent or not Bearer."""
    if authorization[: len(KEY_SCHEME)].lower() != KEY_SCHEME.lower():
        return None
    return authorization[len(KEY_SCHEME) :].strip()


def parse_timeout_s(timeout_ms: str | None) -> float | None:
    """Return seconds; None if the header is absent or malformed."""
    if (
        timeout_ms is None
        or not timeout_ms.isascii()
        or not timeout_ms.isdecimal()
    ):
        return None
    return int(timeout_ms[:MAX_TIMEOUT_DIGITS]) / MS_PER_S


class HttpBody(BodySource):
    """Read the body of an HTTP request."""

    __slots__ = ('request',)

    def __init__(self, request: web.BaseRequest) -> None:
        self.request = request

    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body.

        Raise BodyTooLargeError above the limit, and BodyCutError if the body
        ends early or is malformed.
        """
        if not self.request.body_exists:
            return b''
        content_length = self.request.content_length
        if content_length is not None and content_length > limit_bytes:
            raise BodyTooLargeError(f'{content_length} bytes')
        try:
            return await read_bounded(self.request.content, limit_bytes)
        except (web.RequestPayloadError, OSError) as error:
            raise BodyCutError('the body was cut') from error
