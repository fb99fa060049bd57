"""Send responses, and discard the rest of bodies that nobody needs."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Final

from aiohttp import web

from currantspur.errors import BudgetFullError
from currantspur.messages import ResponseChunk
from currantspur.tasks.forwarder import ResponsePart
from currantspur.wire.guarded_connections import GuardedConnection

# A client that sends a body gets its response before the connection is closed,
# if it reads within this time, and keeps the connection if the rest is short.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 1_048_576
# Buffers for reading from the target and for writing to the client.
STREAM_BYTES = 393_216
DISCARD_ERRORS: Final = (
    BudgetFullError,
    OSError,
    TimeoutError,
    web.RequestPayloadError,
)
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def send_whole(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Send a response, and count its body as held until the client reads it.

    The rest of the request's body is discarded.
    """
    connection = request.protocol
    if not isinstance(connection, GuardedConnection):
        return
    body = response.body if isinstance(response, web.Response) else None
    size = len(body) if isinstance(body, (bytes, bytearray)) else 0
    declared = request.content_length or 0
    is_discarded = not request.content.is_eof()
    if is_discarded and declared > MAX_DISCARDED_BYTES:
        response.force_close()
    connection.guard.take(connection.holder, size)
    try:
        await _send(request, response)
    finally:
        connection.guard.take(connection.holder, -size)
    if not request.content.is_eof():
        await _discard(request, connection)


async def write_parts(
    request: web.BaseRequest,
    response: web.StreamResponse,
    parts: AsyncGenerator[ResponsePart],
    *,
    ends_at: float,
) -> None:
    """Write the chunks of a response, which count as held meanwhile.

    Raise TargetError if the target fails, and TimeoutError if the client has
    not read them in time: the target works until they are read.
    """
    connection = request.protocol
    if not isinstance(connection, GuardedConnection):
        return
    connection.guard.take(connection.holder, STREAM_BYTES)
    try:
        async with asyncio.timeout_at(ends_at):
            await _write_chunks(response, parts)
    finally:
        connection.guard.take(connection.holder, -STREAM_BYTES)


class BodyDiscarder:
    """Respond to requests, then discard their bodies."""

    __slots__ = ('handler',)

    def __init__(self, handler: Handler) -> None:
        self.handler = handler

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request without its body."""
        response = await self.handler(request)
        await send_whole(request, response)
        return response


async def _send(request: web.BaseRequest, response: web.StreamResponse) -> None:
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError:
        # The client is gone; aiohttp notices it as well.
        return


async def _write_chunks(
    response: web.StreamResponse, parts: AsyncGenerator[ResponsePart]
) -> None:
    async for part in parts:
        if isinstance(part, ResponseChunk):
            await response.write(part.body)


async def _discard(
    request: web.BaseRequest, connection: GuardedConnection
) -> None:
    """Read and drop a body; it is closed by aiohttp if that does not end."""
    try:
        async with asyncio.timeout(LINGER_S):
            await _drop_pieces(request, connection)
    except DISCARD_ERRORS:
        return


async def _drop_pieces(
    request: web.BaseRequest, connection: GuardedConnection
) -> None:
    dropped = 0
    chunks = 0
    while dropped < MAX_DISCARDED_BYTES:
        piece = await request.content.readany()
        if not piece:
            return
        dropped += len(piece)
        new_chunks = connection.count_chunks() - chunks
        chunks += new_chunks
        await connection.guard.pace(chunks=new_chunks, size=len(piece))
