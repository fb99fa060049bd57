"""Handle the requests of callers over HTTP."""

import asyncio
from collections.abc import AsyncGenerator, Iterator, Mapping
from typing import Any
from uuid import uuid4

from aiohttp import web
from aiohttp.http import RawRequestMessage

from currantspur.errors import TargetError
from currantspur.messages import (
    IncomingRequest,
    OutgoingRequest,
    Refusal,
    ResponseHead,
)
from currantspur.pipelines.placement_refusals import STOPPING_RETRY_AFTER_S
from currantspur.tasks.clock import Clock
from currantspur.tasks.forwarder import (
    FULL_RETRY_AFTER_S,
    RequestForwarder,
    ResponsePart,
)
from currantspur.tasks.ports import BodySource
from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.forwarded_request import ForwardedRequest
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import (
    KEY_HEADER,
    KEY_SCHEME,
    ProtocolNames,
    filter_forwarded_headers,
)
from currantspur.wire.pipelining import (
    EarlyRequestHandler,
    has_early_requests,
    take_early_request,
)
from currantspur.wire.request_bodies import EMPTY_BODY, HttpBody
from currantspur.wire.request_ends import send_whole, write_parts
from currantspur.wire.responses import (
    encode_refusal,
    make_buffered_response,
    make_streaming_response,
)

MS_PER_S = 1000.0
# Further digits of a timeout are ignored.
MAX_TIMEOUT_DIGITS = 9
MAX_REQUEST_ID_LENGTH = 128


class RequestHandler(EarlyRequestHandler):
    """Translate between HTTP and the messages of a request."""

    __slots__ = (
        'active_requests',
        'clock',
        'forwarded_requests',
        'forwarder',
        'guard',
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
        guard: ClientGuard,
    ) -> None:
        self.guard = guard
        self.forwarder = forwarder
        self.clock = clock
        self.metrics = metrics
        self.names = names
        self.stripped_headers = names.list_stripped_headers()
        self.is_draining = False
        self.active_requests: set[asyncio.Task[Any]] = set()
        # Requests whose turn on their connection has come.
        self.forwarded_requests: dict[ForwardedRequest, web.BaseRequest] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forward a request to a target and return the response.

        While the instance drains, the connection is closed after the response,
        or after those of requests behind it that have begun.
        """
        task = asyncio.current_task()
        if task is None:
            raise AssertionError('handle() must run in a task')
        self.active_requests.add(task)
        try:
            response = await self._forward(request)
        finally:
            self.active_requests.discard(task)
        is_last = not has_early_requests(request)
        if self.is_draining and is_last and not response.prepared:
            response.force_close()
        await send_whole(request, response)
        return response

    def start_draining(self, *, ends_at: float) -> None:
        """Close connections after their responses, and prepare to stop.

        Attempts that would last past the end, in monotonic seconds, are not
        begun.
        """
        self.is_draining = True
        self.forwarder.ends_at = ends_at

    def refuse_incomplete(self) -> None:
        """Refuse requests whose bodies have not arrived.

        The rest of a body is not read once its connection is to be closed.
        """
        for forwarded, request in tuple(self.forwarded_requests.items()):
            if request.body_exists and not request.content.is_eof():
                forwarded.refuse(
                    Refusal(
                        code='not_ready',
                        detail='the instance stops',
                        retry_after_s=STOPPING_RETRY_AFTER_S,
                    )
                )

    def refuse_unfinished(self) -> None:
        """Refuse all requests that wait for a response of a target."""
        self.refuse_incomplete()
        for forwarded in tuple(self.forwarded_requests):
            forwarded.refuse(
                Refusal(
                    code='outcome_unknown',
                    detail='the instance stopped before the response',
                    not_run=False,
                )
            )

    def begin_early(self, message: RawRequestMessage) -> ForwardedRequest:
        """Begin a request whose turn on its connection comes later."""
        forwarded = self._begin(
            message.headers, message.method, message.path, EMPTY_BODY
        )
        task = forwarded.first_part
        self.active_requests.add(task)
        task.add_done_callback(self.active_requests.discard)
        return forwarded

    async def _forward(self, request: web.BaseRequest) -> web.StreamResponse:
        body = HttpBody(request, self.guard)
        early = take_early_request(request)
        if isinstance(early, ForwardedRequest):
            forwarded = early
        elif self.guard.may_begin():
            forwarded = self._begin(
                request.headers, request.method, request.raw_path, body
            )
        else:
            return self._refuse_full(request)
        forwarded.turn.set()
        self.forwarded_requests[forwarded] = request
        try:
            return await self._respond(request, forwarded)
        finally:
            await forwarded.close()
            self._record_end(forwarded, body)

    def _refuse_full(self, request: web.BaseRequest) -> web.Response:
        request_id = read_request_id(request.headers, self.names)
        self.metrics.requests.labels('no_room').inc()
        refusal = Refusal(
            code='no_room',
            detail='the instance is short of memory',
            retry_after_s=FULL_RETRY_AFTER_S,
        )
        return encode_refusal(refusal, request_id, self.names)

    def _record_end(self, forwarded: ForwardedRequest, body: HttpBody) -> None:
        body.release()
        self.forwarded_requests.pop(forwarded, None)
        duration_s = self.clock.now() - forwarded.started_at
        self.metrics.request_seconds.observe(duration_s)

    def _begin(
        self,
        headers: Mapping[str, str],
        method: str,
        path: str,
        body: BodySource,
    ) -> ForwardedRequest:
        started_at = self.clock.now()
        request_id = read_request_id(headers, self.names)
        turn = asyncio.Event()
        incoming = IncomingRequest(
            request_id=request_id,
            received_at=started_at,
            method=method,
            host=headers.get('Host', ''),
            path=path,
            api_key=parse_bearer_key(headers.get(KEY_HEADER, '')),
            object_key=headers.get(self.names.object_key_header),
            timeout_s=parse_timeout_s(
                headers.get(self.names.timeout_ms_header)
            ),
        )
        outgoing = OutgoingRequest(
            request_id=request_id,
            method=method,
            path=path,
            headers=tuple(self._list_forwarded_headers(headers, request_id)),
        )
        # Targets return the ID as the caller sent it, usable in logs or not.
        outgoing.request_id = headers.get(
            self.names.request_id_header, request_id
        )
        return ForwardedRequest(
            request_id=request_id,
            started_at=started_at,
            parts=self.forwarder.run(incoming, outgoing, body, turn),
            turn=turn,
        )

    def _list_forwarded_headers(
        self, headers: Mapping[str, str], request_id: str
    ) -> Iterator[tuple[str, str]]:
        yield from filter_forwarded_headers(
            headers.items(), self.stripped_headers
        )
        if self.names.request_id_header not in headers:
            yield self.names.request_id_header, request_id

    async def _respond(
        self, request: web.BaseRequest, forwarded: ForwardedRequest
    ) -> web.StreamResponse:
        first = await forwarded.read_first_part()
        if isinstance(first, Refusal):
            self.metrics.requests.labels(first.code).inc()
            return encode_refusal(first, forwarded.request_id, self.names)
        if not isinstance(first, ResponseHead):
            raise AssertionError('a response must begin with its head')
        self.metrics.requests.labels('answered').inc()
        if first.body is not None:
            return make_buffered_response(first)
        return await self._stream(request, first, forwarded.parts)

    async def _stream(
        self,
        request: web.BaseRequest,
        head: ResponseHead,
        parts: AsyncGenerator[ResponsePart],
    ) -> web.StreamResponse:
        response = make_streaming_response(head)
        if self.is_draining and not has_early_requests(request):
            response.force_close()
        await response.prepare(request)
        try:
            await write_parts(request, response, parts, ends_at=head.ends_at)
        except (TargetError, TimeoutError):
            self.metrics.requests.labels('cut').inc()
            # First, as the loss of the connection cancels this task.
            await parts.aclose()
            # Shows the caller that the body is incomplete.
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response


def read_request_id(headers: Mapping[str, str], names: ProtocolNames) -> str:
    """Return the request ID of the caller, or a new one.

    An ID that is empty, too long or not printable ASCII is replaced.
    """
    request_id = headers.get(names.request_id_header, '')
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
