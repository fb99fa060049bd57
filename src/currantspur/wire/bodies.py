"""Read HTTP bodies into memory up to a limit."""

from typing import Final

from aiohttp import ClientError, ClientTimeout, StreamReader
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

from currantspur.errors import BodyTooLargeError

# A table of 2,000 targets, or a configuration of 5,000 routes, takes 2 MB.
MAX_TABLE_BODY_BYTES = 16_777_216
# A connection to a peer of the region opens within one round trip.
CONNECT_TIMEOUT_S = 0.8
# A response that makes progress may take this long, after the wait for it.
MAX_TRANSFER_S = 10.0
# Larger bodies are written in slices of this size.
SLICE_BYTES = 65_536
# How a client fails to get a whole body within its limits.
TRANSFER_ERRORS: Final = (
    BodyTooLargeError,
    ClientError,
    OSError,
    TimeoutError,
)


def make_progress_timeout(
    silence_s: float, *, connect_s: float = CONNECT_TIMEOUT_S
) -> ClientTimeout:
    """Return a timeout that ends calls whose peer is silent for so long."""
    return ClientTimeout(
        total=silence_s + MAX_TRANSFER_S,
        sock_connect=connect_s,
        sock_read=silence_s,
    )


class SlicedBody(BytesPayload):
    """A request body that is written in slices, without a copy of it."""

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all slices, each when the one ahead was sent."""
        whole = memoryview(self._value)
        for start in range(0, len(whole), SLICE_BYTES):
            await writer.write(whole[start : start + SLICE_BYTES])

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, whose length is always its own."""
        await self.write(writer)


async def read_bounded(content: StreamReader, limit_bytes: int) -> bytes:
    """Return the whole body; raise BodyTooLargeError above the limit."""
    body = bytearray()
    while chunk := await content.readany():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f'more than {limit_bytes} bytes')
    return bytes(body)
