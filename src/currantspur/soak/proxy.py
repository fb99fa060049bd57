"""Stand between two programs on loopback and harm what they say."""

import asyncio
from collections.abc import Iterable
from typing import Literal

from currantspur.settings.document import split_address
from currantspur.standins.connections import ConnectionServer
from currantspur.standins.target import reset_connection

CHUNK_BYTES = 65_536
DELAY_S = 0.08

# One way: what the callee answers is lost. Silent: both ways are.
ProxyFailureMode = Literal['none', 'delayed', 'reset', 'one-way', 'silent']
PROXY_FAILURE_MODES: tuple[ProxyFailureMode, ...] = (
    'delayed',
    'reset',
    'one-way',
    'silent',
)


class Proxy(ConnectionServer):
    """Pass connections on to an address, or do them harm."""

    __slots__ = ('failure_mode', 'upstream_address')

    def __init__(self, *, address: str, upstream_address: str) -> None:
        super().__init__(address)
        self.upstream_address = upstream_address
        self.failure_mode: ProxyFailureMode = 'none'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a connection with one to the other program."""
        there, back = await asyncio.open_connection(
            *split_address(self.upstream_address)
        )
        ways = (
            asyncio.ensure_future(self._pass(reader, back, is_answer=False)),
            asyncio.ensure_future(self._pass(there, writer, is_answer=True)),
        )
        try:
            done, _ = await asyncio.wait(
                ways, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await _stop(ways)
        # A reset on one side is one on the other too: it tells that what was
        # sent is not whole.
        is_reset = any(way.exception() for way in done)
        for side in (back, writer):
            if is_reset:
                reset_connection(side)
            else:
                side.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.failure_mode == 'reset':
                raise ConnectionResetError
            if self.failure_mode == 'delayed':
                await asyncio.sleep(DELAY_S)
            if not self._is_lost(is_answer=is_answer):
                writer.write(chunk)
                await writer.drain()
        # The last bytes leave before the connection is cut.
        await asyncio.sleep(DELAY_S)

    def _is_lost(self, *, is_answer: bool) -> bool:
        return self.failure_mode == 'silent' or (
            self.failure_mode == 'one-way' and is_answer
        )


async def _stop(ways: Iterable['asyncio.Future[None]']) -> None:
    for way in ways:
        way.cancel()
    await asyncio.gather(*ways, return_exceptions=True)
