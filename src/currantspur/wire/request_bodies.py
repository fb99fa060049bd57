"""Read the bodies of callers' requests, within the budget of all clients."""

from typing import Final

from aiohttp import web

from currantspur.errors import BodyCutError, BodyTooLargeError
from currantspur.tasks.ports import BodySource
from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.guarded_connections import GuardedConnection

# Larger bodies are passed on as they were gathered, without a copy.
MAX_COPIED_BYTES = 65_536
# A body without a length takes its part of the budget in such steps.
MIN_STEP_BYTES = 16_384
# Chunks of a body that are not paced, so that small bodies are not delayed.
FREE_CHUNKS = 1024


class EmptyBody(BodySource):
    """The body of a request that has none."""

    __slots__ = ()

    async def read(self, limit_bytes: int) -> bytes | bytearray:
        """Return no bytes."""
        return b''


EMPTY_BODY: Final = EmptyBody()


class HttpBody(BodySource):
    """Read the body of an HTTP request."""

    __slots__ = ('chunks', 'guard', 'request', 'taken')

    def __init__(self, request: web.BaseRequest, guard: ClientGuard) -> None:
        self.request = request
        self.guard = guard
        # Bytes that the budget counts for this body, and chunks received.
        self.taken = 0
        self.chunks = 0

    async def read(self, limit_bytes: int) -> bytes | bytearray:
        """Return the whole body.

        Raise BodyTooLargeError above the limit, BodyCutError if the body ends
        early or is malformed, and BudgetFullError if there is no room for it.
        """
        if not self.request.body_exists:
            return b''
        content_length = self.request.content_length
        if content_length is not None:
            if content_length > limit_bytes:
                raise BodyTooLargeError(f'{content_length} bytes')
            await self._take(content_length)
        try:
            body = await self._read_pieces(limit_bytes)
        except (web.RequestPayloadError, OSError) as error:
            raise BodyCutError('the body was cut') from error
        return bytes(body) if len(body) <= MAX_COPIED_BYTES else body

    def release(self) -> None:
        """Return the bytes of the body to the budget."""
        connection = self.request.protocol
        if isinstance(connection, GuardedConnection):
            self.guard.take(connection.holder, -self.taken)
        self.taken = 0

    async def _read_pieces(self, limit_bytes: int) -> bytearray:
        body = bytearray()
        while piece := await self.request.content.readany():
            size = len(body) + len(piece)
            if size > limit_bytes:
                raise BodyTooLargeError(f'more than {limit_bytes} bytes')
            if size > self.taken:
                await self._take(max(size - self.taken, MIN_STEP_BYTES))
            body += piece
            await self._pace()
        return body

    async def _take(self, size: int) -> None:
        connection = self.request.protocol
        if isinstance(connection, GuardedConnection):
            await self.guard.wait_and_take(connection.holder, size)
            self.taken += size

    async def _pace(self) -> None:
        connection = self.request.protocol
        if not isinstance(connection, GuardedConnection):
            return
        chunks = connection.count_chunks()
        if chunks > FREE_CHUNKS:
            await self.guard.pace(chunks=chunks - self.chunks)
        self.chunks = chunks
