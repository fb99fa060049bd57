"""TCP proxy on loopback that injects network faults."""

import asyncio
from collections.abc import Iterable
from typing import Literal

from currantspur.settings.document import split_address
from currantspur.standins.connections import ConnectionServer
from currantspur.standins.target import reset_connection

CHUNK_BYTES = 65_536
# Pause before each chunk in the mode `delayed`, and in every mode between the
# end of the data in one direction and the close of the connection.
DELAY_S = 0.08

# delayed: each chunk waits for DELAY_S; reset: the next data resets a
# connection; one-way: data from upstream is dropped; silent: all data is.
ProxyFailureMode = Literal['none', 'delayed', 'reset', 'one-way', 'silent']
PROXY_FAILURE_MODES: tuple[ProxyFailureMode, ...] = (
    'delayed',
    'reset',
    'one-way',
    'silent',
)


class Proxy(ConnectionServer):
    """Forward connections to an upstream address, with a failure mode."""

    __slots__ = ('failure_mode', 'upstream_address')

    def __init__(self, *, address: str, upstream_address: str) -> None:
        super().__init__(address)
        self.upstream_address = upstream_address
        self.failure_mode: ProxyFailureMode = 'none'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Open a connection upstream and relay data in both directions."""
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *split_address(self.upstream_address)
        )
        relays = (
            asyncio.ensure_future(
                self._relay(reader, upstream_writer, is_response=False)
            ),
            asyncio.ensure_future(
                self._relay(upstream_reader, writer, is_response=True)
            ),
        )
        try:
            done, _ = await asyncio.wait(
                relays, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            upstream_writer.transport.abort()
            raise
        finally:
            await _cancel_all(relays)
        # A reset is passed on to the other side: it is the only sign that a
        # body without a length is incomplete.
        is_reset = any(relay.exception() for relay in done)
        for side_writer in (upstream_writer, writer):
            if is_reset:
                reset_connection(side_writer)
            else:
                side_writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.failure_mode == 'reset':
                raise ConnectionResetError
            if self.failure_mode == 'delayed':
                await asyncio.sleep(DELAY_S)
            if not self._drops_data(is_response=is_response):
                writer.write(chunk)
                await writer.drain()
        # Lets the last bytes be delivered before the connection is closed.
        await asyncio.sleep(DELAY_S)

    def _drops_data(self, *, is_response: bool) -> bool:
        return self.failure_mode == 'silent' or (
            self.failure_mode == 'one-way' and is_response
        )


async def _cancel_all(relays: Iterable['asyncio.Future[None]']) -> None:
    for relay in relays:
        relay.cancel()
    await asyncio.gather(*relays, return_exceptions=True)
