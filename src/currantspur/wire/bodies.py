"""Read HTTP bodies into memory up to a limit."""

from typing import Final

from aiohttp import ClientError, ClientTimeout, StreamReader

from currantspur.errors import BodyTooLargeError

# A table of 2,000 targets, or a configuration of 5,000 routes, takes 2 MB.
MAX_TABLE_BODY_BYTES = 16_777_216
# A connection to a peer of the region opens within one round trip.
CONNECT_TIMEOUT_S = 0.8
# A response that makes progress may take this long, after the wait for it.
MAX_TRANSFER_S = 10.0
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


async def read_bounded(content: StreamReader, limit_bytes: int) -> bytes:
    """Return the whole body; raise BodyTooLargeError above the limit."""
    body = bytearray()
    while chunk := await content.readany():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f'more than {limit_bytes} bytes')
    return bytes(body)
