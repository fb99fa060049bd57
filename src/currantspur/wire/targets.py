"""Send requests to targets over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any

import aiohttp

from currantspur.errors import (
    TargetError,
    TargetMovedError,
    TargetShedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from currantspur.messages import (
    OutgoingRequest,
    ResponseChunk,
    ResponseHead,
    Target,
    TargetLoad,
)
from currantspur.tasks.ports import TargetPort
from currantspur.wire.client_middleware import disable_automatic_retry
from currantspur.wire.names import (
    CONTENT_LENGTH,
    ProtocolNames,
    filter_forwarded_headers,
)
from currantspur.wire.sockets import open_keepalive_socket

MS_PER_S = 1000
CHUNK_BYTES = 65_536
# Answers up to this size are checked whole before the caller gets a byte.
BUFFERED_RESPONSE_LIMIT_BYTES = 262_144
MIN_TIMEOUT_S = 0.001
# A new connection takes one trip; a target that is dark never answers.
CONNECT_TIMEOUT_S = 0.35
# Targets close idle connections after some seconds; they say when.
KEEPALIVE_TIMEOUT_S = 4.0
SUPPRESSED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
LOAD_PARTS = 3


class ConnectionTrace:
    """Note whether a connection was there, so that bytes may have left."""

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


class HttpTargetClient(TargetPort):
    """Keep connections to targets and carry exchanges over them."""

    __slots__ = ('names', 'pooled_session', 'single_use_session')

    def __init__(self, names: ProtocolNames) -> None:
        self.names = names
        self.pooled_session = _open_session(force_close=False)
        self.single_use_session = _open_session(force_close=True)

    async def send(
        self,
        target: Target,
        outgoing: OutgoingRequest,
        body: bytes,
        *,
        team: str | None,
        timeout_s: float,
        new_connection: bool,
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        """Yield the answer; raise TargetError where it fails or is cut."""
        trace = ConnectionTrace()
        headers = self._list_headers(target, outgoing, team, timeout_s)
        session = (
            self.single_use_session if new_connection else self.pooled_session
        )
        try:
            async with session.request(
                outgoing.method,
                f'http://{target.address}{outgoing.path}',
                headers=headers,
                data=body or None,
                timeout=_limit_time(timeout_s),
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                self._check(response, outgoing)
                async for part in self._read(response):
                    yield part
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _judge_connection(error, timeout_s) from error
        except TimeoutError as error:
            raise TargetTimeoutError(
                'no whole answer in time', may_have_been_sent=trace.connected
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise TargetError(
                type(error).__name__, may_have_been_sent=trace.connected
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled_session.close()
        await self.single_use_session.close()

    def _list_headers(
        self,
        target: Target,
        outgoing: OutgoingRequest,
        team: str | None,
        timeout_s: float,
    ) -> list[tuple[str, str]]:
        left_ms = max(1, int(timeout_s * MS_PER_S))
        headers = [
            *outgoing.headers,
            (self.names.timeout_ms_header, str(left_ms)),
            (self.names.expected_target_header, target.name),
        ]
        if team is not None:
            headers.append((self.names.team_header, team))
        return headers

    def _check(
        self, response: aiohttp.ClientResponse, outgoing: OutgoingRequest
    ) -> None:
        """Raise TargetError unless this answers what was asked."""
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            raise TargetMovedError('another target has the address')
        if self.names.not_run_header in response.headers:
            raise TargetShedError(f'not run, status {response.status}')
        if (
            response.headers.get(self.names.request_id_header)
            != outgoing.request_id
        ):
            raise TargetError(
                'answer to another request', may_have_been_sent=True
            )

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        head = ResponseHead(
            status=response.status,
            headers=tuple(
                filter_forwarded_headers(response.headers.items(), frozenset())
            ),
            load=read_load(response.headers.get(self.names.load_header)),
        )
        length = response.content_length
        if length is None or length <= BUFFERED_RESPONSE_LIMIT_BYTES:
            head.body = await _read_whole(response)
            yield head
            return
        yield head
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield ResponseChunk(body=chunk)


def _judge_connection(error: Exception, timeout_s: float) -> TargetError:
    """Return what it means that no connection was opened."""
    is_timeout = isinstance(error, TimeoutError)
    if is_timeout and timeout_s < CONNECT_TIMEOUT_S:
        return TargetTimeoutError(
            'no time left to connect', may_have_been_sent=False
        )
    return TargetUnreachableError(type(error).__name__)


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    """Return a body; one that ends with a reset is not whole."""
    ending = _watch_end(response)
    body = await response.read()
    if ending is not None and ending.done() and ending.exception():
        raise aiohttp.ClientPayloadError('reset before the end')
    return body


def _watch_end(
    response: aiohttp.ClientResponse,
) -> 'asyncio.Future[None] | None':
    """Return what tells how the connection of an unframed body ends."""
    connection = response.connection
    if _is_framed(response) or connection is None:
        return None
    protocol = connection.protocol
    # An idle protocol counts as false, so compare.
    return None if protocol is None else protocol.closed


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return 'Transfer-Encoding' in headers or CONTENT_LENGTH in headers


def read_load(text: str | None) -> TargetLoad | None:
    """Return running, waiting and slots; None for anything else."""
    parts = (text or '').split(',')
    if len(parts) != LOAD_PARTS or not all(map(_is_count, parts)):
        return None
    running, waiting, slots = map(int, parts)
    return TargetLoad(running=running, queued=waiting, slots=slots)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connection)
    trace.on_connection_reuseconn.append(_note_connection)
    keeping: dict[str, Any] = (
        {'force_close': True}
        if force_close
        else {'keepalive_timeout': KEEPALIVE_TIMEOUT_S}
    )
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            use_dns_cache=False,
            socket_factory=open_keepalive_socket,
            **keeping,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(disable_automatic_retry,),
        skip_auto_headers=SUPPRESSED_AUTO_HEADERS,
        trace_configs=[trace],
    )


async def _note_connection(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _params: Any
) -> None:
    context.trace_request_ctx.connected = True


def _limit_time(timeout_s: float) -> aiohttp.ClientTimeout:
    total_s = max(timeout_s, MIN_TIMEOUT_S)
    return aiohttp.ClientTimeout(
        total=total_s, connect=min(total_s, CONNECT_TIMEOUT_S)
    )
