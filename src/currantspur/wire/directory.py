"""Answer which instances callers should use, and whether this is ready."""

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from currantspur.messages import LookupQuery
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.metrics import Metrics
from currantspur.wire.names import ProtocolNames
from currantspur.wire.responses import encode_lookup


class Directory:
    """Translate look-ups and questions of readiness."""

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
        """Answer a look-up or a question of readiness."""
        if request.path == self.names.ready_path:
            return self._tell_ready()
        if request.path == self.names.directory_path:
            return await self._look_up(request)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def _tell_ready(self) -> web.Response:
        if self.is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _look_up(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        answer = await self.membership.ask(
            LookupQuery(
                region=query.get('region', ''),
                availability_zone=query.get('zone', ''),
            )
        )
        self.metrics.lookups.inc()
        return encode_lookup(answer)
