"""Read from sockets in pieces of bounded size."""

import asyncio

# Bytes that a wake-up reads and parses. A connection whose body nobody reads
# holds about as many.
READ_BYTES = 16_384


class BoundedReads(asyncio.BufferedProtocol):
    """Pass on what a connection receives, at most READ_BYTES at a time.

    Without it, the event loop reads up to 256 KB before the parser can pause.
    """

    __slots__ = ('buffer', 'connection')

    def __init__(
        self, connection: asyncio.Protocol, buffer: memoryview
    ) -> None:
        """Read into a buffer that all connections of the loop may share."""
        self.connection = connection
        self.buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the transport."""
        self.connection.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the loss of the connection."""
        self.connection.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self.connection.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room again."""
        self.connection.resume_writing()

    def lend_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read."""
        self.connection.data_received(bytes(self.buffer[:nbytes]))

    def eof_received(self) -> None:
        """Pass on the end of what the client sends."""
        self.connection.eof_received()

    get_buffer = lend_buffer


def make_read_buffer() -> memoryview:
    """Return a buffer for BoundedReads."""
    return memoryview(bytearray(READ_BYTES))
