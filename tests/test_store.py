import asyncio
from contextlib import asynccontextmanager

import pytest

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.platform import PlatformStore
from currantspur.platform import store as client
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


async def test_read_follow_and_write():
    async with open_store() as (standin, store):
        standin.put('t', 'a', b'1')
        response = await store.read('t')
        assert response.rows_by_key == {'a': b'1'}
        await store.write('t', {'b': b'2', 'a': None})
        followed = await store.poll_changes(
            't', after=response.revision, wait_s=1
        )
        assert followed.rows_by_key == {'a': None, 'b': b'2'}
        assert followed.revision > response.revision
        await store.write('other', {'x': b''})
        quiet = await store.poll_changes(
            't', after=followed.revision, wait_s=0.05
        )
        assert not quiet.rows_by_key
        assert quiet.newest_row_revision == -1


async def test_a_long_table_is_read_page_by_page():
    async with open_store() as (standin, store):
        for number in range(1203):
            standin.put('t', f'{number:05}', b'x')
        response = await store.read('t')
        assert len(response.rows_by_key) == 1203


async def test_a_follower_is_told_at_once():
    async with open_store() as (standin, store):
        waiting = asyncio.create_task(
            store.poll_changes('t', after=1, wait_s=5)
        )
        await asyncio.sleep(0.05)
        standin.put('t', 'a', b'1')
        response = await asyncio.wait_for(waiting, 1)
        assert response.rows_by_key == {'a': b'1'}


async def test_a_forgotten_history():
    async with open_store() as (standin, store):
        standin.put('t', 'a', b'1')
        standin.drop_history()
        with pytest.raises(HistoryLostError):
            await store.poll_changes('t', after=1, wait_s=1)


@pytest.mark.parametrize(
    'failure_mode', ['busy', 'many', 'reset', 'silent', 'lost', 'gone']
)
async def test_a_store_that_is_away(failure_mode, monkeypatch):
    monkeypatch.setattr(client, 'CALL_TIMEOUT_S', 0.2)
    async with open_store() as (standin, store):
        if failure_mode == 'gone':
            await standin.close()
        else:
            standin.change_failure_mode(failure_mode)
        with pytest.raises(StoreAwayError):
            await store.write('t', {'a': b'1'})
        assert (('t', 'a') in standin.rows) is (failure_mode == 'lost')
