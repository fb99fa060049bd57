"""Bind handlers to addresses."""

import logging
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http import HttpProcessingError

from currantspur.errors import ListenError
from currantspur.settings.document import split_address

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
HEADER_BYTES = 65_536
# The library would else wait for open requests itself; shutdown does that.
SHUTDOWN_S = 0.1


class MalformedRequestFilter(logging.Filter):
    """Leave out what a malformed request result: it may be a key."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Keep the record without its exception."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            record.exc_info = None
        return True


def open_logger() -> logging.Logger:
    """Return the logger of the HTTP library, without malformed requests."""
    opened = logging.getLogger('currantspur.http')
    if not opened.filters:
        opened.addFilter(MalformedRequestFilter())
    return opened


class Server:
    """Hold a listening socket and the connections it took."""

    __slots__ = ('runner', 'site')

    def __init__(self, runner: web.ServerRunner, site: web.TCPSite) -> None:
        self.runner = runner
        self.site = site

    async def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        await self.site.stop()

    async def drain(self, seconds: float) -> None:
        """Close idle connections now and busy ones with their answer."""
        if self.runner.server is not None:
            self.runner.server.pre_shutdown()
            await self.runner.server.shutdown(seconds)

    async def close(self) -> None:
        """Close everything."""
        await self.runner.cleanup()


async def open_server(handler: Handler, address: str) -> Server:
    """Serve at an IP number and port; raise ListenError if it is in use."""
    served = web.Server(
        handler,
        access_log=None,
        logger=open_logger(),
        handler_cancellation=True,
        max_line_size=HEADER_BYTES,
        max_field_size=HEADER_BYTES,
    )
    runner = web.ServerRunner(served, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    host, port = split_address(address)
    site = web.TCPSite(runner, host, port, reuse_address=True)
    try:
        await site.start()
    except OSError as error:
        await runner.cleanup()
        raise ListenError(f'{address}: {error.strerror}') from error
    return Server(runner, site)
