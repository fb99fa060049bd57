"""Send requests to targets over HTTP."""

from collections.abc import AsyncIterator

import aiohttp

from currantspur.errors import TargetError
from currantspur.messages import AnswerChunk, AnswerHead, Outgoing, Target
from currantspur.tasks.exchange import TargetPort
from currantspur.wire.headers import NOT_FOR_CALLERS, keep_headers

CHUNK_BYTES = 65_536
SHORTEST_S = 0.001
BODYLESS = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))


class HttpTargets(TargetPort):
    """Keep connections to targets and carry exchanges over them."""

    __slots__ = ('session',)

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def send(
        self,
        target: Target,
        outgoing: Outgoing,
        body: AsyncIterator[bytes],
        *,
        timeout_s: float,
    ) -> AsyncIterator[AnswerHead | AnswerChunk]:
        """Yield the answer; raise TargetError where it fails or is cut."""
        timeout = aiohttp.ClientTimeout(total=max(timeout_s, SHORTEST_S))
        try:
            async with self.session.request(
                outgoing.method,
                f'http://{target.address}{outgoing.path}',
                headers=outgoing.headers,
                data=None if outgoing.method in BODYLESS else body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                yield _read_head(response)
                async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                    yield AnswerChunk(body=chunk)
        except aiohttp.ClientConnectorError as error:
            raise TargetError(type(error).__name__, sent=False) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TargetError(type(error).__name__, sent=True) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _read_head(response: aiohttp.ClientResponse) -> AnswerHead:
    kept = keep_headers(response.headers.items(), NOT_FOR_CALLERS)
    return AnswerHead(status=response.status, headers=tuple(kept))
