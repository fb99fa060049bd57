"""Read the bodies of responses, and tell truncated ones."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from currantspur.wire.names import CONTENT_LENGTH

TRANSFER_ENCODING = 'Transfer-Encoding'

CHUNK_BYTES = 65_536


async def iterate_body(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yield the body; raise ClientPayloadError if a reset truncated it."""
    closed = _get_closed_future(response)
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        yield chunk
    if closed is not None and closed.done() and closed.exception():
        raise aiohttp.ClientPayloadError(
            'connection reset before the end of the body'
        )


def _get_closed_future(
    response: aiohttp.ClientResponse,
) -> 'asyncio.Future[None] | None':
    """Return the future that is done when the connection is closed.

    A reset sets its exception. Return None for a framed body, which shows by
    itself whether it is whole.
    """
    connection = response.connection
    if _is_framed(response) or connection is None:
        return None
    protocol = connection.protocol
    # An idle protocol is falsy: compare it with None.
    return None if protocol is None else protocol.closed


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Tell whether chunks or a length delimit the body (RFC 9112, 6.3)."""
    codings = response.headers.getall(TRANSFER_ENCODING, ())
    if codings:
        last = codings[-1].rpartition(',')[2]
        return last.strip().lower() == 'chunked'
    return CONTENT_LENGTH in response.headers
