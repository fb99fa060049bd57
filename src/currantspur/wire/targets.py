"""Send requests to targets over HTTP."""

from collections.abc import AsyncGenerator, AsyncIterator
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any

import aiohttp

from currantspur.errors import (
    TargetError,
    TargetShedError,
    TargetTimeoutError,
)
from currantspur.messages import AnswerChunk, AnswerHead, Outgoing, Target
from currantspur.tasks.attempts import TargetPort
from currantspur.wire.headers import (
    NOT_FOR_CALLERS,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    keep_headers,
)
from currantspur.wire.resend import forbid_resend

CHUNK_BYTES = 65_536
SHORTEST_S = 0.001
CONNECT_S = 1.0
IDLE_S = 30.0
BODYLESS = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))
SKIPPED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class Progress:
    """Note whether a connection was there, so that bytes may have left."""

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


class HttpTargets(TargetPort):
    """Keep connections to targets and carry exchanges over them."""

    __slots__ = ('fresh', 'warm')

    def __init__(self) -> None:
        self.warm = _open_session(
            aiohttp.TCPConnector(
                limit=0, use_dns_cache=False, keepalive_timeout=IDLE_S
            )
        )
        self.fresh = _open_session(
            aiohttp.TCPConnector(limit=0, use_dns_cache=False, force_close=True)
        )

    async def send(
        self,
        target: Target,
        outgoing: Outgoing,
        body: AsyncIterator[bytes],
        *,
        timeout_s: float,
        once: bool = False,
    ) -> AsyncGenerator[AnswerHead | AnswerChunk]:
        """Yield the answer; raise TargetError where it fails or is cut."""
        progress = Progress()
        parts = self._exchange(
            target, outgoing, body, progress, timeout_s=timeout_s, once=once
        )
        try:
            async for part in parts:
                yield part
        except TimeoutError as error:
            raise TargetTimeoutError(
                'no whole answer in time', sent=progress.connected
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise TargetError(
                type(error).__name__, sent=progress.connected
            ) from error
        finally:
            await parts.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self.warm.close()
        await self.fresh.close()

    async def _exchange(
        self,
        target: Target,
        outgoing: Outgoing,
        body: AsyncIterator[bytes],
        progress: Progress,
        *,
        timeout_s: float,
        once: bool,
    ) -> AsyncGenerator[AnswerHead | AnswerChunk]:
        session = self.fresh if once else self.warm
        response = await session.request(
            outgoing.method,
            f'http://{target.address}{outgoing.path}',
            headers=outgoing.headers,
            data=None if outgoing.method in BODYLESS else body,
            timeout=_limit_time(timeout_s),
            allow_redirects=False,
            trace_request_ctx=progress,
        )
        try:
            _check_head(response, outgoing)
            yield _read_head(response)
            async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                yield AnswerChunk(body=chunk)
        finally:
            # Closes the connection unless the whole answer was read.
            response.close()


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connection)
    trace.on_connection_reuseconn.append(_note_connection)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(forbid_resend,),
        skip_auto_headers=SKIPPED,
        trace_configs=[trace],
    )


async def _note_connection(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _params: Any
) -> None:
    context.trace_request_ctx.connected = True


def _limit_time(timeout_s: float) -> aiohttp.ClientTimeout:
    total_s = max(timeout_s, SHORTEST_S)
    return aiohttp.ClientTimeout(total=total_s, connect=min(total_s, CONNECT_S))


def _check_head(response: aiohttp.ClientResponse, outgoing: Outgoing) -> None:
    echoed = response.headers.get(REQUEST_ID_HEADER)
    asked = dict(outgoing.headers).get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != asked:
        raise TargetError('answer to another request', sent=True)
    is_shed = response.headers.get(NOT_RUN_HEADER) == 'true'
    if is_shed and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise TargetShedError('shed')


def _read_head(response: aiohttp.ClientResponse) -> AnswerHead:
    kept = keep_headers(response.headers.items(), NOT_FOR_CALLERS)
    return AnswerHead(status=response.status, headers=tuple(kept))
