"""Stand-in for the platform's store: tables with long polls for changes."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Literal

import orjson
from aiohttp import web

from currantspur.platform.names import STORE_ERA_HEADER
from currantspur.wire.server import Server, start_server

MS_PER_S = 1000.0
SILENT_DELAY_S = 60.0
MAX_PAGE_ROWS = 500

# busy: 503; many: 429; reset: connections are aborted; silent: calls are
# delayed by SILENT_DELAY_S; lost: transactions are applied but not answered.
StoreFailureMode = Literal['none', 'busy', 'many', 'reset', 'silent', 'lost']


class StoreStandin:
    """Keep rows in memory and respond as the platform's store does."""

    __slots__ = (
        'address',
        'call_count',
        'changes',
        'era',
        'failure_mode',
        'handlers',
        'history_start_revision',
        'response_delay_s',
        'revision',
        'rows',
        'server',
        'wake_event',
    )

    def __init__(self) -> None:
        # Value and revision of each row, by table and key.
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        # Revision, table and key of each change, oldest first.
        self.changes: list[tuple[int, str, str]] = []
        self.history_start_revision = 0
        self.revision = 1
        # The number of times that the store came back from a copy.
        self.era = 0
        self.wake_event = asyncio.Event()
        self.failure_mode: StoreFailureMode = 'none'
        self.response_delay_s = 0.0
        self.call_count = 0
        self.address = ''
        self.server: Server | None = None
        self.handlers: dict[str, Callable[[web.BaseRequest], Any]] = {
            '/-/rows-tx': self._transact,
            '/-/rows-get': self._read_page,
            '/-/rows-feed': self._long_poll,
        }

    async def start(self, address: str) -> None:
        """Listen at `ip:port`; raise OSError if the port is in use."""
        self.address = address
        self.server = await start_server(self.handle_request, address)

    async def close(self) -> None:
        """Stop the server; do nothing if it was never started."""
        if self.server is not None:
            await self.server.close()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row and return the new revision.

        Values other than bytes are encoded as JSON.
        """
        encoded = value if isinstance(value, bytes) else orjson.dumps(value)
        return self._apply({(table, key): encoded})

    def remove(self, table: str, key: str) -> int:
        """Remove a row and return the new revision."""
        return self._apply({(table, key): None})

    def drop_history(self) -> None:
        """Drop all changes; long polls after an older revision get 410."""
        self.changes.clear()
        self.history_start_revision = self.revision
        self.wake_event.set()

    def change_failure_mode(self, failure_mode: StoreFailureMode) -> None:
        """Fail all calls in this way from now on, also pending long polls."""
        self.failure_mode = failure_mode
        self.wake_event.set()

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one call; fail before or after it as the failure mode says."""
        self.call_count += 1
        await asyncio.sleep(self.response_delay_s)
        failure = await self._apply_failure_mode(request)
        if failure is not None:
            return failure
        handler = self.handlers.get(request.path)
        if handler is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        response: web.Response = await handler(request)
        failure = await self._apply_failure_mode(request)
        return failure or response

    async def _apply_failure_mode(
        self, request: web.BaseRequest
    ) -> web.Response | None:
        if self.failure_mode == 'busy':
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if self.failure_mode == 'many':
            return web.Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        if self.failure_mode == 'silent':
            await asyncio.sleep(SILENT_DELAY_S)
        if self.failure_mode == 'reset' and request.transport is not None:
            request.transport.abort()
            return web.Response()
        return None

    async def _transact(self, request: web.BaseRequest) -> web.Response:
        transaction = orjson.loads(await request.read())
        for row in transaction['expect']:
            current = self.rows.get((row['table'], row['key']), (b'', 0))
            if current[1] != row['ver']:
                return self._make_response(
                    {'rows': []}, HTTPStatus.PRECONDITION_FAILED
                )
        updates: dict[tuple[str, str], bytes | None] = {
            (row['table'], row['key']): b64decode(row['value'])
            for row in transaction['writes']
        }
        for row in transaction['remove']:
            updates[row['table'], row['key']] = None
        self._apply(updates)
        if self.failure_mode == 'lost' and request.transport is not None:
            request.transport.abort()
        return self._make_response({})

    async def _read_page(self, request: web.BaseRequest) -> web.Response:
        table, start = request.query['table'], request.query.get('from', '')
        end = request.query.get('to')
        keys = sorted(
            key
            for row_table, key in self.rows
            if row_table == table
            and key >= start
            and (end is None or key < end)
        )
        return self._make_response(
            {
                'rows': [
                    self._encode_row(table, key) for key in keys[:MAX_PAGE_ROWS]
                ],
                'has_more': len(keys) > MAX_PAGE_ROWS,
            }
        )

    async def _long_poll(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        after_revision = int(query['after'])
        deadline = _now() + int(query['wait_ms']) / MS_PER_S
        if after_revision > self.revision:
            return self._make_response({}, HTTPStatus.GONE)
        while not self._changed_keys(query['table'], after_revision):
            if after_revision < self.history_start_revision:
                return self._make_response({}, HTTPStatus.GONE)
            if self.failure_mode != 'none' or _now() >= deadline:
                break
            self.wake_event.clear()
            await _wait_for_event(self.wake_event, deadline - _now())
        changed_keys = self._changed_keys(query['table'], after_revision)
        rows = [self._encode_row(query['table'], key) for key in changed_keys]
        return self._make_response({'rows': rows})

    def _changed_keys(self, table: str, after_revision: int) -> dict[str, None]:
        return {
            # A dict, since it has each key once and keeps their order.
            key: None
            for revision, row_table, key in self.changes
            if row_table == table and revision > after_revision
        }

    def _encode_row(self, table: str, key: str) -> dict[str, Any]:
        identity = {'table': table, 'part': '', 'key': key}
        row = self.rows.get((table, key))
        if row is None:
            return {**identity, 'ver': self.revision, 'deleted': True}
        value, revision = row
        return {**identity, 'value': b64encode(value).decode(), 'ver': revision}

    def _apply(self, changes: Mapping[tuple[str, str], bytes | None]) -> int:
        self.revision += 1
        for (table, key), value in changes.items():
            self.changes.append((self.revision, table, key))
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.revision)
        self.wake_event.set()
        return self.revision

    def _make_response(
        self, fields: Mapping[str, Any], status: HTTPStatus = HTTPStatus.OK
    ) -> web.Response:
        body = {'ver': self.revision, 'now_s': _now(), **fields}
        return web.Response(
            status=status,
            body=orjson.dumps(body),
            content_type='application/json',
            headers={STORE_ERA_HEADER: str(self.era)},
        )


class StoreCopy:
    """The rows, changes and revision of a store at one moment."""

    __slots__ = ('changes', 'revision', 'rows')

    def __init__(self, store: StoreStandin) -> None:
        self.rows = dict(store.rows)
        self.changes = list(store.changes)
        self.revision = store.revision

    def restore(self, store: StoreStandin) -> None:
        """Take a store back to this copy; it gives out revisions again."""
        store.rows = dict(self.rows)
        store.changes = list(self.changes)
        store.revision = self.revision
        store.era += 1
        store.wake_event.set()


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(0.0, seconds))
    except TimeoutError:
        return
