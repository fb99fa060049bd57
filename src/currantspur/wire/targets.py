"""Send requests to targets over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from http import HTTPStatus

import aiohttp
from yarl import URL

from currantspur.encoding import MAX_AMOUNT
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
    TargetSignals,
)
from currantspur.tasks.journal import Journal
from currantspur.tasks.ports import TargetPort
from currantspur.wire.bodies import SLICE_BYTES, SlicedBody
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import (
    RETRY_AFTER_HEADER,
    ProtocolNames,
    filter_forwarded_headers,
)
from currantspur.wire.response_bodies import iterate_body
from currantspur.wire.response_heads import find_head_fault
from currantspur.wire.target_sessions import ConnectionTrace, TargetSessions

MS_PER_S = 1000
# Statuses from 200 up to this one are successes.
MIN_REDIRECT_STATUS = 300
# Responses up to this size are read and checked whole before the caller gets
# the first byte.
BUFFERED_RESPONSE_LIMIT_BYTES = 262_144
# aiohttp takes a timeout of 0 as none.
MIN_TIMEOUT_S = 0.001
# A connection opens within one round trip; a target that is down never
# responds.
CONNECT_TIMEOUT_S = 0.35
# Idle connections of a client that is not told otherwise.
DEFAULT_MAX_IDLE = 256
# Each tells a caller that its request did not run.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Fields of the load header: running, queued, slots, and mostly the pace of the
# machine in percent.
LOAD_FIELD_COUNTS = frozenset((3, 4))
USUAL_PACE_PERCENT = 100
# A larger count is a mistake; hundreds of digits do not fit into a float.
MAX_COUNT_DIGITS = 6


class HttpTargetClient(TargetPort):
    """Send requests to targets over pooled or single-use connections."""

    __slots__ = ('names', 'sessions')

    def __init__(
        self,
        names: ProtocolNames,
        metrics: Metrics | None = None,
        journal: Journal | None = None,
        max_idle: int = DEFAULT_MAX_IDLE,
    ) -> None:
        self.names = names
        self.sessions = TargetSessions(metrics or Metrics(), journal, max_idle)

    async def send(
        self,
        target: Target,
        outgoing_request: OutgoingRequest,
        body: bytes | bytearray,
        *,
        team: str | None,
        timeout_s: float,
        new_connection: bool,
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        """Yield the response; raise TargetError if it fails or is truncated.

        With `new_connection`, the request gets a connection that carried no
        other before, so it is certain whether any byte was sent.
        """
        trace = ConnectionTrace()
        ends_at = asyncio.get_running_loop().time() + timeout_s
        headers = self._make_headers(target, outgoing_request, team, timeout_s)
        session = self.sessions.choose(new_connection=new_connection)
        try:
            async with session.request(
                outgoing_request.method,
                _make_url(target, outgoing_request.path),
                headers=headers,
                data=_encode_body(body),
                timeout=_make_timeout(timeout_s),
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                self._check_response(response, outgoing_request)
                async for part in self._read_response(response, ends_at):
                    yield part
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _classify_connect_error(error, timeout_s) from error
        except TimeoutError as error:
            raise TargetTimeoutError(
                'no whole answer in time', may_have_run=trace.connected
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise TargetError(
                type(error).__name__, may_have_run=trace.connected
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.sessions.close()

    def _make_headers(
        self,
        target: Target,
        outgoing_request: OutgoingRequest,
        team: str | None,
        timeout_s: float,
    ) -> list[tuple[str, str]]:
        timeout_ms = max(1, int(timeout_s * MS_PER_S))
        headers = [
            *outgoing_request.headers,
            (self.names.timeout_ms_header, str(timeout_ms)),
            (self.names.expected_target_header, target.name),
        ]
        if team is not None:
            headers.append((self.names.team_header, team))
        return headers

    def _check_response(
        self,
        response: aiohttp.ClientResponse,
        outgoing_request: OutgoingRequest,
    ) -> None:
        """Raise TargetError unless the target ran and answered this request."""
        fault = find_head_fault(response.status, response.headers.items())
        if fault is not None:
            # What follows on the connection may be no response either.
            response.close()
            raise TargetError(fault, may_have_run=True)
        response_id = response.headers.get(self.names.request_id_header)
        if response_id != outgoing_request.request_id:
            # Also a rejection: it may be that of an earlier request, repeated.
            raise TargetError('answer to another request', may_have_run=True)
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            raise TargetMovedError('another target has the address')
        self._check_not_run(response)
        self._check_proof(response)

    def _check_proof(self, response: aiohttp.ClientResponse) -> None:
        """Raise TargetError for a success that lacks its proof, if any is due.

        The caller could not tell it from the answer to another request.
        """
        name = self.names.proof_header
        is_success = HTTPStatus.OK <= response.status < MIN_REDIRECT_STATUS
        if name and is_success and not response.headers.get(name):
            raise TargetError('a success without its proof', may_have_run=True)

    def _check_not_run(self, response: aiohttp.ClientResponse) -> None:
        if self.names.not_run_header in response.headers:
            raise TargetShedError(
                f'not run, status {response.status}',
                signals=self._read_signals(response),
            )
        if response.status in NOT_RUN_STATUSES:
            # To callers the status would state that the request did not run.
            raise TargetError(
                f'status {response.status}, but not as not run',
                may_have_run=True,
                signals=self._read_signals(response),
            )

    def _read_signals(self, response: aiohttp.ClientResponse) -> TargetSignals:
        headers = response.headers
        is_rejection = response.status == HTTPStatus.SERVICE_UNAVAILABLE
        return TargetSignals(
            is_leaving=headers.get(self.names.leaving_header) == '1',
            limit_per_s=parse_decimal(headers.get(self.names.limit_header)),
            retry_after_s=(
                parse_decimal(headers.get(RETRY_AFTER_HEADER))
                if is_rejection
                else None
            ),
        )

    async def _read_response(
        self, response: aiohttp.ClientResponse, ends_at: float
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        head = ResponseHead(
            status=response.status,
            headers=tuple(
                filter_forwarded_headers(response.headers.items(), frozenset())
            ),
            load=parse_load(response.headers.get(self.names.load_header)),
            signals=self._read_signals(response),
            ends_at=ends_at,
        )
        chunks = iterate_body(response)
        buffered = bytearray()
        async for chunk in chunks:
            buffered += chunk
            if len(buffered) > BUFFERED_RESPONSE_LIMIT_BYTES:
                break
        else:
            head.body = bytes(buffered)
            yield head
            return
        yield head
        yield ResponseChunk(body=bytes(buffered))
        buffered.clear()
        async for chunk in chunks:
            yield ResponseChunk(body=chunk)


def _make_url(target: Target, path: str) -> URL:
    """Return a URL whose path and query are sent as they are.

    A query given apart would be left out if it is empty.
    """
    return URL.build(
        scheme='http', authority=target.address, path=path, encoded=True
    )


def _encode_body(body: bytes | bytearray) -> bytes | SlicedBody | None:
    if len(body) > SLICE_BYTES:
        return SlicedBody(memoryview(body))
    return bytes(body) or None


def _classify_connect_error(error: Exception, timeout_s: float) -> TargetError:
    """Return the error for a connection that was not opened.

    A timeout means that the target is unreachable only if CONNECT_TIMEOUT_S
    could pass in full.
    """
    is_timeout = isinstance(error, TimeoutError)
    if is_timeout and timeout_s < CONNECT_TIMEOUT_S:
        return TargetTimeoutError('no time left to connect', may_have_run=False)
    return TargetUnreachableError(type(error).__name__)


def parse_load(header: str | None) -> TargetLoad | None:
    """Parse `running,queued,slots[,pace]`; return None if malformed."""
    counts = (header or '').split(',')
    if len(counts) not in LOAD_FIELD_COUNTS or not all(map(_is_count, counts)):
        return None
    running, queued, slots, *paces = map(int, counts)
    pace_percent = paces[0] if paces else USUAL_PACE_PERCENT
    return TargetLoad(
        running=running,
        queued=queued,
        slots=slots,
        pace=(pace_percent or USUAL_PACE_PERCENT) / USUAL_PACE_PERCENT,
    )


def parse_decimal(header: str | None) -> float | None:
    """Parse a number without sign or exponent; return None if malformed."""
    whole, _, fraction = (header or '').strip().partition('.')
    if not _is_decimal(whole + fraction):
        return None
    number = float(f'{whole}.{fraction}')
    # Peers would take a heartbeat with a larger number as malformed.
    return number if number <= MAX_AMOUNT else None


def _is_count(text: str) -> bool:
    return _is_decimal(text) and len(text) <= MAX_COUNT_DIGITS


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _make_timeout(timeout_s: float) -> aiohttp.ClientTimeout:
    total_s = max(timeout_s, MIN_TIMEOUT_S)
    return aiohttp.ClientTimeout(
        total=total_s, connect=min(total_s, CONNECT_TIMEOUT_S)
    )
