import asyncio
from contextlib import asynccontextmanager

import pytest

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.platform import PlatformStore
from currantspur.platform import store as store_module
from currantspur.platform.store import decode_rows
from currantspur.standins import StoreStandin
from currantspur.standins.fleet import find_free_address
from currantspur.wire.metrics import Metrics


@asynccontextmanager
async def open_store():
    standin = StoreStandin()
    address = find_free_address()
    await standin.start(address)
    store = PlatformStore(address, Metrics())
    try:
        yield standin, store
    finally:
        await store.close()
        await standin.close()


async def test_written_rows_are_read_and_polled():
    async with open_store() as (standin, store):
        standin.put('t', 'a', b'1')
        response = await store.read('t')
        assert response.rows_by_key == {'a': b'1'}
        await store.write('t', {'b': b'2', 'a': None})
        changed = await store.poll_changes(
            't', after=response.revision, wait_s=1
        )
        assert changed.rows_by_key == {'a': None, 'b': b'2'}
        assert changed.revision > response.revision
        await store.write('other', {'x': b''})
        unchanged = await store.poll_changes(
            't', after=changed.revision, wait_s=0.05
        )
        assert not unchanged.rows_by_key
        assert unchanged.newest_row_revision == -1


async def test_table_of_several_pages_is_read_whole():
    async with open_store() as (standin, store):
        for number in range(1203):
            standin.put('t', f'{number:05}', b'x')
        response = await store.read('t')
        assert len(response.rows_by_key) == 1203


async def test_row_change_ends_the_long_poll_at_once():
    async with open_store() as (standin, store):
        poll = asyncio.create_task(store.poll_changes('t', after=1, wait_s=5))
        await asyncio.sleep(0.05)
        standin.put('t', 'a', b'1')
        response = await asyncio.wait_for(poll, 1)
        assert response.rows_by_key == {'a': b'1'}


async def test_dropped_history_raises_history_lost():
    async with open_store() as (standin, store):
        standin.put('t', 'a', b'1')
        standin.drop_history()
        with pytest.raises(HistoryLostError):
            await store.poll_changes('t', after=1, wait_s=1)


@pytest.mark.parametrize(
    'failure_mode', ['busy', 'many', 'reset', 'silent', 'lost', 'gone']
)
async def test_write_to_failing_store_raises_store_away(
    failure_mode, monkeypatch
):
    monkeypatch.setattr(store_module, 'CALL_TIMEOUT_S', 0.2)
    async with open_store() as (standin, store):
        if failure_mode == 'gone':
            await standin.close()
        else:
            standin.change_failure_mode(failure_mode)
        with pytest.raises(StoreAwayError):
            await store.write('t', {'a': b'1'})
        assert (('t', 'a') in standin.rows) is (failure_mode == 'lost')


@pytest.mark.parametrize(
    'rows',
    [
        None,
        [None],
        ['x'],
        [{}],
        [{'value': 'MQ=='}],
        [{'key': 'a', 'value': 'not base64'}],
        [{'key': 'a', 'value': 7}],
    ],
)
def test_malformed_rows_raise_store_away(rows):
    with pytest.raises(StoreAwayError):
        list(decode_rows({'rows': rows, 'ver': 1}))
