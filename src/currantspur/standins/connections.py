"""Base class of servers of raw TCP connections."""

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from currantspur.settings.document import split_address


class ConnectionServer(ABC):
    """Run one task per accepted connection; close() cancels them all."""

    __slots__ = ('address', 'connection_tasks', 'server')

    def __init__(self, address: str) -> None:
        self.address = address
        self.connection_tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the address; raise OSError if the port is in use."""
        host, port = split_address(self.address)
        self.server = await asyncio.start_server(
            self._handle_connection, host, port
        )

    async def close(self) -> None:
        """Stop listening and abort all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
        for task in self.connection_tasks:
            task.cancel()
        await asyncio.gather(*self.connection_tasks, return_exceptions=True)

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends.

        OSError, IncompleteReadError and cancellation abort the connection.
        """

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            raise AssertionError('a connection must be served by a task')
        self.connection_tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.connection_tasks.discard(task)
            writer.close()
