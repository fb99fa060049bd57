"""Take the place of the platform's store: tables with a feed of changes."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Literal

import orjson
from aiohttp import web

from currantspur.wire.server import Server, open_server

MS_PER_S = 1000.0
SILENCE_S = 60.0
PAGE_ROWS = 500

StoreFailureMode = Literal['none', 'busy', 'many', 'reset', 'silent', 'lost']


class StoreStandin:
    """Keep rows in memory and answer as the platform's store does."""

    __slots__ = (
        'address',
        'calls',
        'changes',
        'delay_s',
        'failure_mode',
        'first_revision',
        'handlers',
        'news',
        'revision',
        'rows',
        'server',
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str]] = []
        self.first_revision = 0
        self.revision = 1
        self.news = asyncio.Event()
        self.failure_mode: StoreFailureMode = 'none'
        self.delay_s = 0.0
        self.calls = 0
        self.address = ''
        self.server: Server | None = None
        self.handlers: dict[str, Callable[[web.BaseRequest], Any]] = {
            '/-/rows-tx': self._transact,
            '/-/rows-get': self._read,
            '/-/rows-feed': self._follow,
        }

    async def start(self, address: str) -> None:
        """Listen at an IP number and port."""
        self.address = address
        self.server = await open_server(self.answer, address)

    async def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            await self.server.close()

    def put(self, table: str, key: str, plain: Any) -> int:
        """Write a row as operators and targets do; return the revision."""
        encoded = plain if isinstance(plain, bytes) else orjson.dumps(plain)
        return self._apply({(table, key): encoded})

    def drop(self, table: str, key: str) -> int:
        """Remove a row; return the revision."""
        return self._apply({(table, key): None})

    def drop_history(self) -> None:
        """Drop the history of changes."""
        self.changes.clear()
        self.first_revision = self.revision
        self.news.set()

    def change_failure_mode(self, failure_mode: StoreFailureMode) -> None:
        """Misbehave in one way from now on; waiting calls notice."""
        self.failure_mode = failure_mode
        self.news.set()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call, or misbehave."""
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        refused = await self._misbehave(request)
        if refused is not None:
            return refused
        handler = self.handlers.get(request.path)
        if handler is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        response: web.Response = await handler(request)
        refused = await self._misbehave(request)
        return refused or response

    async def _misbehave(self, request: web.BaseRequest) -> web.Response | None:
        if self.failure_mode == 'busy':
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if self.failure_mode == 'many':
            return web.Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        if self.failure_mode == 'silent':
            await asyncio.sleep(SILENCE_S)
        if self.failure_mode == 'reset' and request.transport is not None:
            request.transport.abort()
            return web.Response()
        return None

    async def _transact(self, request: web.BaseRequest) -> web.Response:
        asked = orjson.loads(await request.read())
        for row in asked['expect']:
            known = self.rows.get((row['table'], row['key']), (b'', 0))
            if known[1] != row['ver']:
                return self._reply({'rows': []}, HTTPStatus.PRECONDITION_FAILED)
        written: dict[tuple[str, str], bytes | None] = {
            (row['table'], row['key']): b64decode(row['value'])
            for row in asked['writes']
        }
        for row in asked['remove']:
            written[row['table'], row['key']] = None
        self._apply(written)
        if self.failure_mode == 'lost' and request.transport is not None:
            request.transport.abort()
        return self._reply({})

    async def _read(self, request: web.BaseRequest) -> web.Response:
        table, first = request.query['table'], request.query.get('from', '')
        keys = sorted(
            key for known, key in self.rows if known == table and key >= first
        )
        return self._reply(
            {
                'rows': [self._show(table, key) for key in keys[:PAGE_ROWS]],
                'has_more': len(keys) > PAGE_ROWS,
            }
        )

    async def _follow(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        after = int(query['after'])
        until = _now() + int(query['wait_ms']) / MS_PER_S
        while not self._list_changed(query['table'], after):
            if after < self.first_revision:
                return self._reply({}, HTTPStatus.GONE)
            if self.failure_mode != 'none' or _now() >= until:
                break
            self.news.clear()
            await _wait(self.news, until - _now())
        changed = self._list_changed(query['table'], after)
        rows = [self._show(query['table'], key) for key in changed]
        return self._reply({'rows': rows})

    def _list_changed(self, table: str, after: int) -> dict[str, None]:
        return {
            key: None
            for revision, known, key in self.changes
            if known == table and revision > after
        }

    def _show(self, table: str, key: str) -> dict[str, Any]:
        named = {'table': table, 'part': '', 'key': key}
        row = self.rows.get((table, key))
        if row is None:
            return {**named, 'ver': self.revision, 'deleted': True}
        value, revision = row
        return {**named, 'value': b64encode(value).decode(), 'ver': revision}

    def _apply(self, written: Mapping[tuple[str, str], bytes | None]) -> int:
        self.revision += 1
        for (table, key), value in written.items():
            self.changes.append((self.revision, table, key))
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.revision)
        self.news.set()
        return self.revision

    def _reply(
        self, plain: Mapping[str, Any], status: HTTPStatus = HTTPStatus.OK
    ) -> web.Response:
        body = {'ver': self.revision, 'now_s': _now(), **plain}
        return web.Response(
            status=status,
            body=orjson.dumps(body),
            content_type='application/json',
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(0.0, seconds))
    except TimeoutError:
        return
