import asyncio
from contextlib import asynccontextmanager

import pytest

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.platform import PlatformStore
from currantspur.platform import store as client
from currantspur.standins import StoreStandin
from currantspur.standins.fleet import find_address
from currantspur.wire.metrics import Metrics


@asynccontextmanager
async def open_store():
    standin = StoreStandin()
    address = find_address()
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
        reading = await store.read('t')
        assert reading.by_key == {'a': b'1'}
        await store.write('t', {'b': b'2', 'a': None})
        followed = await store.follow('t', after=reading.revision, wait_s=1)
        assert followed.by_key == {'a': None, 'b': b'2'}
        assert followed.revision > reading.revision
        await store.write('other', {'x': b''})
        quiet = await store.follow('t', after=followed.revision, wait_s=0.05)
        assert not quiet.by_key
        assert quiet.changed == -1


async def test_a_long_table_is_read_page_by_page():
    async with open_store() as (standin, store):
        for number in range(1203):
            standin.put('t', f'{number:05}', b'x')
        reading = await store.read('t')
        assert len(reading.by_key) == 1203


async def test_a_follower_is_told_at_once():
    async with open_store() as (standin, store):
        waiting = asyncio.create_task(store.follow('t', after=1, wait_s=5))
        await asyncio.sleep(0.05)
        standin.put('t', 'a', b'1')
        reading = await asyncio.wait_for(waiting, 1)
        assert reading.by_key == {'a': b'1'}


async def test_a_forgotten_history():
    async with open_store() as (standin, store):
        standin.put('t', 'a', b'1')
        standin.forget()
        with pytest.raises(HistoryLostError):
            await store.follow('t', after=1, wait_s=1)


@pytest.mark.parametrize(
    'trouble', ['busy', 'many', 'reset', 'silent', 'lost', 'gone']
)
async def test_a_store_that_is_away(trouble, monkeypatch):
    monkeypatch.setattr(client, 'CALL_S', 0.2)
    async with open_store() as (standin, store):
        if trouble == 'gone':
            await standin.close()
        else:
            standin.change_trouble(trouble)
        with pytest.raises(StoreAwayError):
            await store.write('t', {'a': b'1'})
        assert (('t', 'a') in standin.rows) is (trouble == 'lost')
