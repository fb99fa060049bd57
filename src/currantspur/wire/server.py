"""Bind applications to addresses."""

import logging
from ssl import SSLContext

from aiohttp import web
from aiohttp.http import HttpProcessingError

from currantspur.errors import ListenError
from currantspur.settings import split_address

DRAIN_S = 30.0


class HideMalformed(logging.Filter):
    """Leave out what a malformed request held: it may be a key."""

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
        opened.addFilter(HideMalformed())
    return opened


async def open_server(
    application: web.Application,
    address: str,
    ssl_context: SSLContext | None = None,
) -> web.AppRunner:
    """Serve at an IP number and port; raise ListenError if it is in use."""
    runner = web.AppRunner(
        application,
        access_log=None,
        logger=open_logger(),
        shutdown_timeout=DRAIN_S,
        handler_cancellation=True,
    )
    await runner.setup()
    host, port = split_address(address)
    try:
        await web.TCPSite(runner, host, port, ssl_context=ssl_context).start()
    except OSError as error:
        await runner.cleanup()
        raise ListenError(f'{address}: {error.strerror}') from error
    return runner
