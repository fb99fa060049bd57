"""Serve a platform kept in memory over HTTP."""

from http import HTTPStatus

import orjson
from aiohttp import web
from aiohttp.typedefs import Handler

from currantspur.errors import (
    ConflictError,
    ObjectMissingError,
    PlatformAwayError,
)
from currantspur.messages import fields
from currantspur.platform import Platform, Row, Transaction
from currantspur.standins.faults import Fault, FaultTable, wrap_platform
from currantspur.tasks.clock import SystemClock
from currantspur.wire.platform_http import (
    CALLER_HEADER,
    decode_instance,
    encode_instance,
)

OBJECT_LIMIT_BYTES = 67_108_864


class PlatformStandin:
    """Translate between HTTP and the ports of a platform."""

    __slots__ = ('faults', 'platform')

    def __init__(
        self, platform: Platform, faults: FaultTable | None = None
    ) -> None:
        self.platform = platform
        self.faults = faults or FaultTable(SystemClock())

    def application(self) -> web.Application:
        """Return the application that serves the platform."""
        application = web.Application(
            middlewares=[translate_errors], client_max_size=OBJECT_LIMIT_BYTES
        )
        router = application.router
        router.add_post('/table/read', self.read)
        router.add_post('/table/scan', self.scan)
        router.add_post('/table/commit', self.commit)
        router.add_put('/objects/{name:.+}', self.put_object)
        router.add_get('/objects/{name:.+}', self.get_object)
        router.add_put('/instances/{name}', self.announce)
        router.add_get('/instances', self.list_instances)
        router.add_get('/-/faults', self.show_faults)
        router.add_put('/-/faults', self.replace_faults)
        return application

    def serve(self, request: web.Request) -> Platform:
        """Return the platform as the caller of a request sees it."""
        party = request.headers.get(CALLER_HEADER, '')
        return wrap_platform(self.platform, self.faults, party=party)

    async def show_faults(self, _request: web.Request) -> web.Response:
        """List the faults in effect."""
        shown = [dict(fields(fault)) for fault in self.faults.faults]
        return web.Response(body=orjson.dumps(shown))

    async def replace_faults(self, request: web.Request) -> web.Response:
        """Replace the faults in effect."""
        plain = await request.json(loads=orjson.loads)
        self.faults.replace(Fault(**one) for one in plain)
        return web.Response()

    async def read(self, request: web.Request) -> web.Response:
        """Read rows by key."""
        asked = await request.json(loads=orjson.loads)
        rows = await self.serve(request).table.read(asked['keys'])
        return _encode_rows(list(rows.values()))

    async def scan(self, request: web.Request) -> web.Response:
        """Read rows by prefix."""
        asked = await request.json(loads=orjson.loads)
        rows = await self.serve(request).table.scan(
            asked['prefix'], limit=asked['limit']
        )
        return _encode_rows(rows)

    async def commit(self, request: web.Request) -> web.Response:
        """Commit a transaction."""
        asked = await request.json(loads=orjson.loads)
        versions = await self.serve(request).table.commit(
            Transaction(conditions=asked['conditions'], writes=asked['writes'])
        )
        return web.Response(body=orjson.dumps(versions))

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        body = await request.read()
        await self.serve(request).object_store.put(
            request.match_info['name'], body
        )
        return web.Response()

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object."""
        name = request.match_info['name']
        return web.Response(
            body=await self.serve(request).object_store.get(name)
        )

    async def announce(self, request: web.Request) -> web.Response:
        """Note an instance."""
        plain = await request.json(loads=orjson.loads)
        await self.serve(request).instances.announce(decode_instance(plain))
        return web.Response()

    async def list_instances(self, request: web.Request) -> web.Response:
        """List the instances."""
        known = await self.serve(request).instances.list()
        body = orjson.dumps([encode_instance(one) for one in known])
        return web.Response(body=body)


@web.middleware
async def translate_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn errors of the platform into statuses."""
    try:
        return await handler(request)
    except ConflictError as error:
        return web.Response(status=HTTPStatus.CONFLICT, text=str(error))
    except ObjectMissingError as error:
        return web.Response(status=HTTPStatus.NOT_FOUND, text=str(error))
    except PlatformAwayError as error:
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, text=str(error)
        )


def _encode_rows(rows: list[Row]) -> web.Response:
    return web.Response(body=orjson.dumps([dict(fields(row)) for row in rows]))
