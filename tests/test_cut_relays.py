"""A relay that is cut off from the store, and a reader that is not."""

import asyncio
from contextlib import asynccontextmanager
from http import HTTPStatus

import pytest
from aiohttp.test_utils import make_mocked_request
from yarl import URL

from currantspur.errors import StoreAwayError
from currantspur.messages import TableSnapshot
from currantspur.messages.table_rows import RowsResponse
from currantspur.standins.fleet import find_free_address
from currantspur.tasks import FailoverStore, Journal, RowRelay, SystemClock
from currantspur.wire.relays import (
    AGE_HEADER,
    ROWS_PATH,
    HttpRelayClient,
    RowRelayHandler,
    decode_response,
    make_query,
)
from currantspur.wire.server import start_server
from tests.stores import ReadOnlyStore
from tests.test_admission import NullSink

OLD_ROWS, NEW_ROWS = {'t1': b'ready'}, {'t1': b'draining'}
# A target that leaves may get requests for this long after the store knows it.
DRAIN_TIMEOUT_S = 3.0
NEVER_READ_S = float('inf')


class ChangedStore(ReadOnlyStore):
    """A store that answers at once that a target is draining."""

    async def read(self, table):
        return RowsResponse(rows_by_key=NEW_ROWS, revision=2)

    async def poll_changes(self, table, *, after, wait_s):
        return RowsResponse(rows_by_key=NEW_ROWS, revision=2)


async def wait_for_change(store):
    """Follow a table as a reader does; return the rows that changed."""
    response = RowsResponse(rows_by_key={}, revision=1)
    while not response.rows_by_key:
        response = await store.poll_changes('servers', after=1, wait_s=10.0)
    return response.rows_by_key


@asynccontextmanager
async def open_relay(clock, *, is_silent):
    """Yield the address of a relay that may hear nothing more of the store."""
    read_at = clock.now()
    relay = RowRelay(clock=clock)
    relay.mailbox.post(
        TableSnapshot(
            table='servers',
            rows_by_key=OLD_ROWS,
            revision=1,
            read_at=read_at,
            newest_row_revision=1,
        )
    )
    running = asyncio.ensure_future(relay.run())
    address = find_free_address()
    handler = RowRelayHandler(
        relay.mailbox,
        get_age_s=lambda _table: is_silent * (clock.now() - read_at),
        get_era=lambda _table: 0,
    )
    server = await start_server(handler.handle, address)
    try:
        yield address
    finally:
        running.cancel()
        await server.close()


# Guards against requests to a leaving target by instances that reach the store:
# they read through relays that are cut off from it and answer "no change".
@pytest.mark.parametrize('is_silent', [True, False])
async def test_reader_learns_past_a_silent_relay(is_silent):
    clock = SystemClock()
    store = FailoverStore(
        store=ChangedStore(),
        relay_client=HttpRelayClient(),
        clock=clock,
        journal=Journal(sink=NullSink(), clock=clock),
    )
    relay = open_relay(clock, is_silent=is_silent)
    async with relay as address, closing_store(store):
        store.source_order = (address, *store.source_order)
        reading = asyncio.ensure_future(wait_for_change(store))
        await asyncio.wait((reading,), timeout=DRAIN_TIMEOUT_S)
        # The store itself is asked only if the relay hears nothing of it.
        assert reading.done() is is_silent
        reading.cancel()


@asynccontextmanager
async def closing_store(store):
    try:
        yield store
    finally:
        await store.close()


# Guards against a relay whose word counts for more than what it knows itself.
@pytest.mark.parametrize(
    ('age_s', 'after', 'status'),
    [
        (0.25, 1, HTTPStatus.NO_CONTENT),
        (1.5, 1, HTTPStatus.NO_CONTENT),
        (2.5, 1, HTTPStatus.SERVICE_UNAVAILABLE),
        # An instance that has just started has not read the table yet.
        (NEVER_READ_S, 1, HTTPStatus.SERVICE_UNAVAILABLE),
        # It has no rows for the whole table either.
        (NEVER_READ_S, -1, HTTPStatus.NO_CONTENT),
    ],
)
async def test_relay_says_how_old_its_rows_are(age_s, after, status):
    handler = RowRelayHandler(
        RowRelay(clock=SystemClock()).mailbox,
        get_age_s=lambda _table: age_s,
        get_era=lambda _table: 0,
    )
    query = make_query('servers', after=after, wait_s=0.01, age_s=1.0)
    url = str(URL(ROWS_PATH).with_query(query))
    response = await handler.handle(make_mocked_request('GET', url))
    assert response.status == status
    if status == HTTPStatus.NO_CONTENT and after >= 0:
        decoded = decode_response(response.status, response.headers, b'', after)
        assert decoded.age_s == age_s


@pytest.mark.parametrize('text', ['-1', 'nan', 'new'])
def test_malformed_age_is_no_response(text):
    with pytest.raises(StoreAwayError):
        decode_response(HTTPStatus.NO_CONTENT, {AGE_HEADER: text}, b'', 1)
