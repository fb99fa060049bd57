"""Call the platform's store over HTTP; this is its only client."""

from base64 import b64decode, b64encode
from collections.abc import Iterator, Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from currantspur.encoding import parse_count
from currantspur.errors import (
    MALFORMED_INPUT_ERRORS,
    HistoryLostError,
    StoreAwayError,
)
from currantspur.messages.revisions import (
    NO_REVISION,
    get_era,
    get_version,
    parse_revision,
)
from currantspur.messages.table_rows import RowsResponse
from currantspur.platform.names import STORE_ERA_HEADER
from currantspur.tasks.ports import Store
from currantspur.wire.bodies import (
    MAX_TABLE_BODY_BYTES,
    TRANSFER_ERRORS,
    make_progress_timeout,
    read_bounded,
)
from currantspur.wire.bounded_connections import BoundedConnector
from currantspur.wire.metrics import Metrics
from currantspur.wire.sockets import open_keepalive_socket

MS_PER_S = 1000
# The store responds within milliseconds; while it fails, it is fifty times
# slower.
CALL_TIMEOUT_S = 1.5
# Time for the response to arrive after the wait of a long poll.
LONG_POLL_MARGIN_S = 1.0
KEEPALIVE_TIMEOUT_S = 20.0


class PlatformStore(Store):
    """Read, poll and write tables.

    The store addresses a row by table, part and key; rows written here have an
    empty part, and rows with another part are ignored.
    """

    __slots__ = ('base_url', 'metrics', 'session')

    def __init__(self, address: str, metrics: Metrics) -> None:
        self.base_url = f'http://{address}'
        self.metrics = metrics
        self.session = aiohttp.ClientSession(
            connector=BoundedConnector(
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=open_keepalive_socket,
            ),
            json_serialize=_dump_json,
        )

    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table, read in pages; raise StoreAwayError."""
        return await self._read_pages({'table': table, 'part': ''}, '')

    async def read_range(
        self, table: str, from_key: str, to_key: str
    ) -> RowsResponse:
        """Return the rows from a key up to, but not including, another."""
        query = {'table': table, 'part': '', 'to': to_key}
        return await self._read_pages(query, from_key)

    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return the rows changed after a revision, or none after `wait_s`.

        Raise HistoryLostError if the store no longer has the changes after
        that revision or came back from a copy, and StoreAwayError if it gives
        no usable response.
        """
        document = await self._call(
            'GET',
            'rows-feed',
            query={
                'table': table,
                'after': str(get_version(after)),
                'wait_ms': str(int(wait_s * MS_PER_S)),
            },
            timeout_s=wait_s + LONG_POLL_MARGIN_S,
        )
        _check_era(document, after)
        return RowsResponse(
            rows_by_key=dict(decode_rows(document)),
            revision=document['revision'],
            newest_row_revision=_get_newest_revision(document),
        )

    def report_stale(self, table: str, *, better_source: str) -> None:
        """Count a stale response; peers are no sources of this client."""
        self.metrics.store_calls.labels(table, 'behind').inc()

    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows, and delete those that are None.

        Raise StoreAwayError if there is no usable response; the rows may have
        been written nevertheless.
        """
        body = {
            'expect': [],
            'writes': [
                {**_make_row_key(table, key), 'value': b64encode(row).decode()}
                for key, row in rows.items()
                if row is not None
            ],
            'remove': [
                _make_row_key(table, key)
                for key, row in rows.items()
                if row is None
            ],
        }
        await self._call('POST', 'rows-tx', body=body, timeout_s=CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _read_pages(
        self, query: Mapping[str, str], from_key: str
    ) -> RowsResponse:
        rows_by_key: dict[str, bytes | None] = {}
        newest_row_revision = -1
        revision: int | None = None
        while True:
            page = await self._call(
                'GET',
                'rows-get',
                query={**query, 'from': from_key},
                timeout_s=CALL_TIMEOUT_S,
            )
            rows = decode_rows(page)
            rows_by_key.update(rows)
            newest_row_revision = max(
                newest_row_revision, _get_newest_revision(page)
            )
            # Rows of the first page may change while others are read: changes
            # are polled from its revision.
            revision = page['revision'] if revision is None else revision
            if page['era'] != get_era(revision):
                raise StoreAwayError(f'{page["era"]}: another era meanwhile')
            if not page.get('has_more') or not rows:
                return RowsResponse(
                    rows_by_key=rows_by_key,
                    revision=revision,
                    newest_row_revision=newest_row_revision,
                )
            # A range includes its first key: continue just after the last one.
            from_key = f'{rows[-1][0]}\0'

    async def _call(
        self,
        method: str,
        call_name: str,
        *,
        timeout_s: float,
        query: Mapping[str, str] | None = None,
        body: Any = None,
    ) -> dict[str, Any]:
        outcome = 'away'
        try:
            async with self.session.request(
                method,
                f'{self.base_url}/-/{call_name}',
                params=query,
                json=body,
                timeout=make_progress_timeout(
                    timeout_s, connect_s=CALL_TIMEOUT_S
                ),
            ) as response:
                outcome = str(response.status)
                body = await read_bounded(
                    response.content, MAX_TABLE_BODY_BYTES
                )
                era = response.headers.get(STORE_ERA_HEADER)
                return _decode_response(
                    call_name, response.status, body, era=era
                )
        except TRANSFER_ERRORS as error:
            outcome = 'away'
            raise StoreAwayError(
                f'{call_name}: {type(error).__name__}'
            ) from error
        finally:
            self.metrics.store_calls.labels(call_name, outcome).inc()


def _decode_response(
    call_name: str, status: int, body: bytes, *, era: str | None
) -> dict[str, Any]:
    """Return the document with its era and revision.

    A store without eras is in era 0.
    """
    if status == HTTPStatus.GONE:
        raise HistoryLostError(call_name)
    if status != HTTPStatus.OK:
        raise StoreAwayError(f'{call_name}: status {status}')
    try:
        document: dict[str, Any] = orjson.loads(body)
        document['era'] = parse_count(era or 0)
        document['revision'] = parse_revision(era or 0, document['ver'])
    except MALFORMED_INPUT_ERRORS as error:
        raise StoreAwayError(f'{call_name}: malformed response') from error
    return document


def _check_era(document: Mapping[str, Any], revision: int) -> None:
    """Raise HistoryLostError for a response of another era than a revision."""
    if document['era'] != get_era(revision):
        raise HistoryLostError(f'era {document["era"]}')


def decode_rows(
    document: Mapping[str, Any],
) -> list[tuple[str, bytes | None]]:
    """Return the rows of a response; raise StoreAwayError for malformed ones.

    Deleted rows are None.
    """
    try:
        return list(_iterate_rows(document))
    except MALFORMED_INPUT_ERRORS as error:
        raise StoreAwayError('malformed rows') from error


def _iterate_rows(
    document: Mapping[str, Any],
) -> Iterator[tuple[str, bytes | None]]:
    for row in document.get('rows', ()):
        if row.get('part'):
            continue
        is_deleted = row.get('deleted') or row.get('value') is None
        if not isinstance(row['key'], str):
            raise TypeError('the key of a row is no text')
        yield row['key'], None if is_deleted else b64decode(row['value'])


def _get_newest_revision(document: Mapping[str, Any]) -> int:
    """Return the newest revision of rows that decode_rows accepted."""
    try:
        return max(
            (
                parse_revision(document['era'], row.get('ver', -1))
                for row in document.get('rows', ())
            ),
            default=NO_REVISION,
        )
    except MALFORMED_INPUT_ERRORS as error:
        raise StoreAwayError('malformed version of a row') from error


def _make_row_key(table: str, key: str) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': key}


def _dump_json(body: Any) -> str:
    return orjson.dumps(body).decode()
