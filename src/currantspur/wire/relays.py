"""Exchange table rows between instances over HTTP."""

import asyncio
import zlib
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from math import isnan
from typing import Any, Final

import orjson
from aiohttp import ClientSession, web

from currantspur.encoding import parse_amount
from currantspur.errors import (
    MALFORMED_INPUT_ERRORS,
    HistoryLostError,
    StoreAwayError,
)
from currantspur.messages.revisions import get_era, get_version, parse_revision
from currantspur.messages.table_rows import (
    NO_OUTAGE_S_AGO,
    RowsRequest,
    RowsResponse,
)
from currantspur.tasks.failover_store import RelayPort
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.bodies import (
    MAX_TABLE_BODY_BYTES,
    TRANSFER_ERRORS,
    make_progress_timeout,
    read_bounded,
)
from currantspur.wire.bounded_connections import BoundedConnector
from currantspur.wire.sockets import open_keepalive_socket

ROWS_PATH = '/rows'
# Rows as text compress better than in Base64, which older builds expect.
FORM_KEY = 'form'
TEXT_FORM = 'text'
BASE64_FORM = 'base64'
# Many peers ask for the same changes of the three tables at about once.
MAX_CACHED_BODIES = 6
# Seconds since the store confirmed the rows, those of the reader in a query and
# those of the relay in the header of any response.
AGE_KEY = 'age_s'
AGE_HEADER = 'X-Rows-Age-S'
AGE_DECIMALS = 3
# Time for the response to arrive after the wait of a long poll.
LONG_POLL_MARGIN_S = 0.25
# A peer that asks for a longer wait gets this one.
MAX_LONG_POLL_S = 30.0
# A relay with older rows gives those that it has at once: its readers should
# not wait for more.
MAX_RELAYED_AGE_S = 2.0
SILENT_WAIT_S = 0.05
# Body of a response if the changes after a revision are no longer known.
HISTORY_LOST_BODY: Final = b'null'


class RowRelayHandler:
    """Respond to peers with the table rows that this instance has read."""

    __slots__ = ('bodies', 'get_age_s', 'get_era', 'row_relay')

    def __init__(
        self,
        row_relay: Mailbox,
        *,
        get_age_s: Callable[[str], float],
        get_era: Callable[[str], int],
    ) -> None:
        """Relay rows; the callables tell what is known of a table.

        They return the seconds since the store itself confirmed the rows, and
        their era.
        """
        self.get_age_s = get_age_s
        self.get_era = get_era
        self.row_relay = row_relay
        # The latest responses with their encoded bodies, by form of the rows.
        self.bodies: deque[tuple[RowsResponse, str, bytes]] = deque(
            maxlen=MAX_CACHED_BODIES
        )

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the rows changed after a revision; wait until there are any.

        The status is 204 if there are none after the wait, or if the store has
        confirmed the rows here later than those of the reader. It is 503 if
        this instance does not know whether there are, and 400 for a malformed
        query. A header says how long ago the store confirmed the rows.
        """
        query = request.query
        try:
            rows_request = RowsRequest(
                table=query['table'],
                after_revision=parse_revision(
                    # Older builds do not know of eras.
                    query.get('era', self.get_era(query['table'])),
                    query['after'],
                ),
                age_s=parse_age_s(query.get(AGE_KEY)),
            )
            wait_s = min(MAX_LONG_POLL_S, float(query['wait_s']))
        except (KeyError, ValueError):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        is_silent = self._is_silent(rows_request)
        try:
            rows_response = await asyncio.wait_for(
                self.row_relay.ask(rows_request),
                SILENT_WAIT_S if is_silent else wait_s,
            )
        except TimeoutError:
            if is_silent or self._is_silent(rows_request):
                return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
            # Nothing has changed, or this instance has not read the table yet.
            return self._respond_unchanged(rows_request.table)
        if _is_unchanged(rows_response, rows_request):
            return self._respond_unchanged(rows_request.table)
        form = query.get(FORM_KEY, BASE64_FORM)
        return web.Response(
            body=self._find_body(rows_response, form),
            content_type='application/json',
            headers={
                'Content-Encoding': 'deflate',
                **self._encode_age(rows_request.table),
            },
        )

    def _is_silent(self, rows_request: RowsRequest) -> bool:
        # A whole table is given at once, unless it was not read yet.
        is_poll = rows_request.after_revision >= 0
        return is_poll and (
            self.get_age_s(rows_request.table) > MAX_RELAYED_AGE_S
        )

    def _respond_unchanged(self, table: str) -> web.Response:
        return web.Response(
            status=HTTPStatus.NO_CONTENT, headers=self._encode_age(table)
        )

    def _encode_age(self, table: str) -> dict[str, str]:
        return {AGE_HEADER: str(round(self.get_age_s(table), AGE_DECIMALS))}

    def _find_body(
        self, rows_response: RowsResponse | None, form: str
    ) -> bytes:
        """Return the compressed rows; a body made lately is used again."""
        if rows_response is None:
            return zlib.compress(HISTORY_LOST_BODY)
        for response, known_form, body in self.bodies:
            if response is rows_response and known_form == form:
                return body
        body = zlib.compress(encode_rows(rows_response, form=form))
        self.bodies.append((rows_response, form, body))
        return body


class HttpRelayClient(RelayPort):
    """Fetch table rows from peers.

    A peer that does not respond in time counts as unavailable.
    """

    __slots__ = ('session',)

    def __init__(self) -> None:
        self.session = ClientSession(
            connector=BoundedConnector(socket_factory=open_keepalive_socket)
        )

    async def fetch(
        self,
        address: str,
        table: str,
        *,
        after: int,
        wait_s: float,
        age_s: float,
    ) -> RowsResponse:
        """Return the rows changed after a revision, or none after `wait_s`.

        Raise StoreAwayError if the peer gives no usable response, and
        HistoryLostError if it does not know the changes after that revision.
        """
        query = make_query(table, after=after, wait_s=wait_s, age_s=age_s)
        timeout = make_progress_timeout(wait_s + LONG_POLL_MARGIN_S)
        try:
            async with self.session.get(
                f'http://{address}{ROWS_PATH}', params=query, timeout=timeout
            ) as response:
                body = await read_bounded(
                    response.content, MAX_TABLE_BODY_BYTES
                )
                return decode_response(
                    response.status, response.headers, body, after
                )
        except TRANSFER_ERRORS as error:
            raise StoreAwayError(f'peer: {type(error).__name__}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def make_query(
    table: str, *, after: int, wait_s: float, age_s: float
) -> dict[str, str]:
    """Return the query of a request for rows."""
    return {
        'table': table,
        'after': str(get_version(after)),
        'era': str(max(0, get_era(after))),
        'wait_s': str(wait_s),
        AGE_KEY: str(round(age_s, AGE_DECIMALS)),
        FORM_KEY: TEXT_FORM,
    }


def decode_response(
    status: int, headers: Mapping[str, str], body: bytes, after: int
) -> RowsResponse:
    """Return the rows of a decompressed response, with their age.

    Raise the errors of decode_rows.
    """
    rows_response = decode_rows(status, body, after)
    rows_response.age_s = decode_age_s(headers.get(AGE_HEADER))
    return rows_response


def _is_unchanged(
    rows_response: RowsResponse | None, rows_request: RowsRequest
) -> bool:
    if rows_response is None or rows_request.after_revision < 0:
        return False
    return not rows_response.rows_by_key


def parse_age_s(text: str | None) -> float:
    """Return an age in seconds, 0 if there is none; raise ValueError.

    Older builds do not send it.
    """
    age_s = float(text or 0.0)
    if isnan(age_s) or age_s < 0:
        raise ValueError(f'{text} is no age')
    return age_s


def decode_age_s(header: str | None) -> float:
    """Return the age of a peer's rows; raise StoreAwayError if malformed."""
    try:
        return parse_age_s(header)
    except ValueError as error:
        raise StoreAwayError('peer: malformed age') from error


def encode_rows(rows_response: RowsResponse, *, form: str) -> bytes:
    """Return rows as JSON; rows that are no text are always Base64."""
    texts: dict[str, str] = {}
    encoded: dict[str, str | None] = {}
    for key, row in rows_response.rows_by_key.items():
        text = _decode_text(row) if form == TEXT_FORM else None
        if text is None:
            encoded[key] = None if row is None else b64encode(row).decode()
        else:
            texts[key] = text
    return orjson.dumps(
        {
            'rows': encoded,
            'texts': texts,
            'era': get_era(rows_response.revision),
            'revision': get_version(rows_response.revision),
            'changed': get_version(rows_response.newest_row_revision),
            'outage_ended_s_ago': rows_response.outage_ended_s_ago,
        }
    )


def _decode_text(row: bytes | None) -> str | None:
    try:
        return None if row is None else row.decode()
    except UnicodeDecodeError:
        return None


def decode_rows(status: int, body: bytes, after: int) -> RowsResponse:
    """Return the rows that a peer sent; status 204 means no changes.

    Raise HistoryLostError if the peer no longer knows the changes after that
    revision, and StoreAwayError for any other response without rows.
    """
    if status == HTTPStatus.NO_CONTENT and after >= 0:
        return RowsResponse(rows_by_key={}, revision=after)
    if status != HTTPStatus.OK:
        raise StoreAwayError(f'peer: status {status}')
    try:
        return _parse_rows(orjson.loads(body), after)
    except MALFORMED_INPUT_ERRORS as error:
        raise StoreAwayError('peer: malformed response') from error


def _parse_rows(document: Any, after: int) -> RowsResponse:
    if document is None:
        raise HistoryLostError('peer')
    # Older builds do not know of eras.
    era = document.get('era', max(0, get_era(after)))
    ended_s_ago = document['outage_ended_s_ago']
    return RowsResponse(
        rows_by_key={
            **{key: _decode_row(row) for key, row in document['rows'].items()},
            **{
                key: text.encode()
                for key, text in document.get('texts', {}).items()
            },
        },
        revision=parse_revision(era, document['revision']),
        newest_row_revision=parse_revision(era, document['changed']),
        # JSON cannot encode infinity, which stands for no outage so far.
        outage_ended_s_ago=NO_OUTAGE_S_AGO
        if ended_s_ago is None
        else parse_amount(ended_s_ago),
    )


def _decode_row(row: str | None) -> bytes | None:
    return None if row is None else b64decode(row)
