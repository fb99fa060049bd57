"""Serve look-ups of instances and the readiness check."""

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from currantspur.messages import LookupQuery
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import ProtocolNames
from currantspur.wire.responses import encode_lookup


class LookupHandler:
    """Handle look-up and readiness requests."""

    __slots__ = ('is_ready', 'membership', 'metrics', 'names')

    def __init__(
        self,
        *,
        membership: Mailbox,
        metrics: Metrics,
        names: ProtocolNames,
        is_ready: Callable[[], bool],
    ) -> None:
        self.membership = membership
        self.metrics = metrics
        self.names = names
        self.is_ready = is_ready

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the response to a request; 404 for an unknown path.

        An instance that is not ready responds with 503 to readiness requests.
        """
        if request.path == self.names.ready_path:
            return self._check_ready()
        if request.path == self.names.directory_path:
            return await self._look_up(request)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def _check_ready(self) -> web.Response:
        if self.is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _look_up(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        lookup_response = await self.membership.ask(
            LookupQuery(
                region=query.get('region', ''),
                availability_zone=query.get('zone', ''),
            )
        )
        self.metrics.lookups.inc()
        return encode_lookup(lookup_response)
