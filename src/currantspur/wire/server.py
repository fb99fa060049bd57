"""Bind applications to addresses."""

from aiohttp import web

from currantspur.errors import ListenError
from currantspur.settings import split_address

DRAIN_S = 30.0


async def open_server(
    application: web.Application, address: str
) -> web.AppRunner:
    """Serve at an IP number and port; raise ListenError if it is in use."""
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=DRAIN_S,
        handler_cancellation=True,
    )
    await runner.setup()
    host, port = split_address(address)
    try:
        await web.TCPSite(runner, host, port).start()
    except OSError as error:
        await runner.cleanup()
        raise ListenError(f'{address}: {error.strerror}') from error
    return runner
