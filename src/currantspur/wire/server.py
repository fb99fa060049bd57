"""Serve HTTP handlers at listening addresses."""

import logging
from typing import Any

from aiohttp import web
from aiohttp.http import HttpProcessingError

from currantspur.decisions.connection_limits import MIN_IDLE_S
from currantspur.errors import ListenError
from currantspur.settings.document import split_address
from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.guarded_connections import GuardedServer
from currantspur.wire.pipelining import EarlyRequestHandler, PipeliningServer
from currantspur.wire.request_ends import BodyDiscarder, Handler

# Limit of the request line and of each header.
MAX_HEADER_LINE_BYTES = 65_536
# aiohttp would otherwise wait for open requests itself when it closes; the
# graceful shutdown does that before.
SHUTDOWN_TIMEOUT_S = 0.1
# Connections that the event loop may accept before their number is checked.
BACKLOG = 64


class MalformedRequestFilter(logging.Filter):
    """Remove the exception of a malformed request: it may quote an API key."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Return True: the record itself is always logged."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            record.exc_info = None
        return True


def get_http_logger() -> logging.Logger:
    """Return the logger for aiohttp, without exceptions that quote requests."""
    http_logger = logging.getLogger('currantspur.http')
    if not http_logger.filters:
        http_logger.addFilter(MalformedRequestFilter())
    return http_logger


class Server:
    """A listening socket and the connections that it has accepted."""

    __slots__ = ('runner', 'site')

    def __init__(self, runner: web.ServerRunner, site: web.TCPSite) -> None:
        self.runner = runner
        self.site = site

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones continue."""
        await self.site.stop()

    async def drain(self, timeout_s: float) -> None:
        """Close idle connections now, and the others after their response.

        Requests that still run after the timeout are cancelled.
        """
        if self.runner.server is not None:
            self.runner.server.pre_shutdown()
            await self.runner.server.shutdown(timeout_s)

    async def close(self) -> None:
        """Close the socket and all connections."""
        await self.runner.cleanup()


class GuardedAddress:
    """An address to listen at, and how many connections it takes."""

    __slots__ = ('address', 'guard', 'max_connections')

    def __init__(
        self, address: str, *, guard: ClientGuard, max_connections: int
    ) -> None:
        self.address = address
        self.guard = guard
        self.max_connections = max_connections

    def make_options(self) -> dict[str, Any]:
        """Return the options of a server at this address."""
        return {
            'guard': self.guard,
            'max_connections': self.max_connections,
            **make_server_options(),
        }


async def start_server(handler: Handler, address: str) -> Server:
    """Serve at an IP address and port; raise ListenError if it is in use."""
    return await _start(web.Server(handler, **make_server_options()), address)


async def start_guarded_server(
    handler: Handler, address: GuardedAddress
) -> Server:
    """Serve clients whose bodies are not read."""
    server = GuardedServer(
        BodyDiscarder(handler).handle,
        min_idle_s=MIN_IDLE_S,
        **address.make_options(),
    )
    return await _start(server, address.address)


async def start_pipelining_server(
    handler: EarlyRequestHandler, address: GuardedAddress
) -> Server:
    """Serve requests of callers, which may be pipelined, at an address."""
    server = PipeliningServer(handler, **address.make_options())
    return await _start(server, address.address)


def make_server_options() -> dict[str, Any]:
    """Return the options of every HTTP server."""
    return {
        'access_log': None,
        'logger': get_http_logger(),
        'handler_cancellation': True,
        'max_line_size': MAX_HEADER_LINE_BYTES,
        'max_field_size': MAX_HEADER_LINE_BYTES,
    }


async def _start(web_server: web.Server, address: str) -> Server:
    runner = web.ServerRunner(web_server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    host, port = split_address(address)
    site = web.TCPSite(runner, host, port, reuse_address=True, backlog=BACKLOG)
    try:
        await site.start()
    except OSError as error:
        await runner.cleanup()
        raise ListenError(f'{address}: {error.strerror}') from error
    return Server(runner, site)
