"""Call the platform's store over HTTP: the only client of it."""

from base64 import b64decode, b64encode
from collections.abc import Iterator, Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.tasks.ports import Store
from currantspur.wire.metrics import Metrics
from currantspur.wire.sockets import open_keepalive_socket

MS_PER_S = 1000
# The store answers in milliseconds; in trouble it is fifty times slower.
CALL_TIMEOUT_S = 1.5
# Time for the answer of a call that waits for a change.
LONG_POLL_MARGIN_S = 1.5
KEEPALIVE_TIMEOUT_S = 20.0


class PlatformStore(Store):
    """Read, follow and write tables; every row has an empty part."""

    __slots__ = ('base', 'metrics', 'session')

    def __init__(self, address: str, metrics: Metrics) -> None:
        self.base = f'http://{address}'
        self.metrics = metrics
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                use_dns_cache=False,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=open_keepalive_socket,
            ),
            json_serialize=_dump,
        )

    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table; raise StoreAwayError."""
        by_key: dict[str, bytes | None] = {}
        changed = -1
        first = ''
        while True:
            query = {'table': table, 'part': '', 'from': first}
            answer = await self._call(
                'GET', 'rows-get', query=query, timeout_s=CALL_TIMEOUT_S
            )
            rows = list(_list_rows(answer))
            by_key.update(rows)
            changed = max(changed, _find_newest(answer))
            if not answer.get('has_more') or not rows:
                return RowsResponse(
                    rows_by_key=by_key,
                    revision=answer['ver'],
                    newest_row_revision=changed,
                )
            # The range begins with the key itself: go on just after it.
            first = f'{rows[-1][0]}\0'

    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what changed after a revision, or nothing after a while."""
        answer = await self._call(
            'GET',
            'rows-feed',
            query={
                'table': table,
                'after': str(after),
                'wait_ms': str(int(wait_s * MS_PER_S)),
            },
            timeout_s=wait_s + LONG_POLL_MARGIN_S,
        )
        return RowsResponse(
            rows_by_key=dict(_list_rows(answer)),
            revision=answer['ver'],
            newest_row_revision=_find_newest(answer),
        )

    def report_stale(self, table: str) -> None:
        """Count it; the store itself is the only source here."""
        self.metrics.store_calls.labels(table, 'behind').inc()

    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows and remove those of None; raise StoreAwayError."""
        body = {
            'expect': [],
            'writes': [
                {**_name_row(table, key), 'value': b64encode(row).decode()}
                for key, row in rows.items()
                if row is not None
            ],
            'remove': [
                _name_row(table, key)
                for key, row in rows.items()
                if row is None
            ],
        }
        await self._call('POST', 'rows-tx', body=body, timeout_s=CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _call(
        self,
        method: str,
        name: str,
        *,
        timeout_s: float,
        query: Mapping[str, str] | None = None,
        body: Any = None,
    ) -> dict[str, Any]:
        outcome = 'away'
        try:
            async with self.session.request(
                method,
                f'{self.base}/-/{name}',
                params=query,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                outcome = str(response.status)
                return _decode(name, response.status, await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            outcome = 'away'
            raise StoreAwayError(f'{name}: {type(error).__name__}') from error
        finally:
            self.metrics.store_calls.labels(name, outcome).inc()


def _decode(name: str, status: int, body: bytes) -> dict[str, Any]:
    if status == HTTPStatus.GONE:
        raise HistoryLostError(name)
    if status != HTTPStatus.OK:
        raise StoreAwayError(f'{name}: status {status}')
    try:
        decoded: dict[str, Any] = orjson.loads(body)
        decoded['ver'] = int(decoded['ver'])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreAwayError(f'{name}: an answer that is none') from error
    return decoded


def _list_rows(answer: Mapping[str, Any]) -> Iterator[tuple[str, bytes | None]]:
    for row in answer.get('rows', ()):
        if row.get('part'):
            continue
        is_gone = row.get('deleted') or row.get('value') is None
        yield row['key'], None if is_gone else b64decode(row['value'])


def _find_newest(answer: Mapping[str, Any]) -> int:
    return max(
        (row.get('ver', -1) for row in answer.get('rows', ())), default=-1
    )


def _name_row(table: str, key: str) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': key}


def _dump(body: Any) -> str:
    return orjson.dumps(body).decode()
