"""Pass rows between instances over HTTP."""

import asyncio
from base64 import b64decode, b64encode
from http import HTTPStatus
from typing import Any, Final

import orjson
from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    web,
)

from currantspur.errors import (
    MALFORMED_INPUT_ERRORS,
    HistoryLostError,
    StoreAwayError,
)
from currantspur.messages.table_rows import FOREVER, RowsRequest, RowsResponse
from currantspur.tasks.failover_store import RelayPort
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.sockets import open_keepalive_socket

PATH = '/rows'
MARGIN_S = 0.5
MAX_LONG_POLL_S = 30.0
NOT_KNOWN: Final = b'null'


class RowRelayHandler:
    """Answer peers from the rows that this instance has."""

    __slots__ = ('row_relay',)

    def __init__(self, row_relay: Mailbox) -> None:
        self.row_relay = row_relay

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a question for rows; wait for a change where none came."""
        query = request.query
        try:
            asked = RowsRequest(
                table=query['table'], after_revision=int(query['after'])
            )
            wait_s = min(MAX_LONG_POLL_S, float(query['wait_s']))
        except (KeyError, ValueError):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        try:
            answer = await asyncio.wait_for(self.row_relay.ask(asked), wait_s)
        except TimeoutError:
            # Nothing changed, or nothing is known here at all.
            return web.Response(status=HTTPStatus.NO_CONTENT)
        response = web.Response(
            body=encode_rows(answer), content_type='application/json'
        )
        response.enable_compression()
        return response


class HttpRelayClient(RelayPort):
    """Ask peers; one that does not answer in time is away."""

    __slots__ = ('session',)

    def __init__(self) -> None:
        self.session = ClientSession(
            connector=TCPConnector(
                limit=0,
                use_dns_cache=False,
                socket_factory=open_keepalive_socket,
            )
        )

    async def fetch(
        self, address: str, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what changed, or nothing after a while."""
        query = {'table': table, 'after': str(after), 'wait_s': str(wait_s)}
        timeout = ClientTimeout(total=wait_s + MARGIN_S)
        try:
            async with self.session.get(
                f'http://{address}{PATH}', params=query, timeout=timeout
            ) as response:
                body = await response.read()
                return decode_rows(response.status, body, after)
        except (ClientError, OSError, TimeoutError) as error:
            raise StoreAwayError(f'peer: {type(error).__name__}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def encode_rows(answer: RowsResponse | None) -> bytes:
    """Return the JSON form of an answer; null for what is not known."""
    if answer is None:
        return NOT_KNOWN
    return orjson.dumps(
        {
            'rows': {
                key: None if row is None else b64encode(row).decode()
                for key, row in answer.rows_by_key.items()
            },
            'revision': answer.revision,
            'changed': answer.newest_row_revision,
            'outage_ended_s_ago': answer.outage_ended_s_ago,
        }
    )


def decode_rows(status: int, body: bytes, after: int) -> RowsResponse:
    """Return what a peer said; raise StoreError where it cannot tell."""
    if status == HTTPStatus.NO_CONTENT and after >= 0:
        return RowsResponse(rows_by_key={}, revision=after)
    if status != HTTPStatus.OK:
        raise StoreAwayError(f'peer: status {status}')
    try:
        return _read(orjson.loads(body))
    except MALFORMED_INPUT_ERRORS as error:
        raise StoreAwayError('peer: an answer that is none') from error


def _read(plain: Any) -> RowsResponse:
    if plain is None:
        raise HistoryLostError('peer')
    ended = plain['outage_ended_s_ago']
    return RowsResponse(
        rows_by_key={key: _decode(row) for key, row in plain['rows'].items()},
        revision=int(plain['revision']),
        newest_row_revision=int(plain['changed']),
        # JSON has no number for an outage that never was.
        outage_ended_s_ago=FOREVER if ended is None else ended,
    )


def _decode(row: str | None) -> bytes | None:
    return None if row is None else b64decode(row)
