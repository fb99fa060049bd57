import asyncio
from contextlib import AsyncExitStack

import pytest

from currantspur.decisions.table_sources import (
    MAX_DIRECT_FLEET_SIZE,
    order_sources,
)
from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages import FleetView, Instance, TableSnapshot
from currantspur.messages.table_rows import RowsRequest, RowsResponse
from currantspur.standins import Fleet
from currantspur.standins.fleet import find_free_address, wait_until
from currantspur.tasks import FailoverStore, RelayPort, RowRelay, Store
from currantspur.tasks.failover_store import SOURCE_COOLDOWN_S
from currantspur.wire.heartbeats import JsonInstanceCodec
from tests.virtual import VirtualClock


def make_fleet(size, regions=('n', 's')):
    return tuple(
        Instance(
            name=f'i{number}',
            availability_zone=f'{regions[number % len(regions)]}1',
            region=regions[number % len(regions)],
            address=f'i{number}:1',
            peer=f'i{number}:2',
        )
        for number in range(size)
    )


def order(fleet, own):
    view = FleetView(
        live_instances=fleet,
        fleet_size=len(fleet),
        requests_per_s_by_instance={},
        computed_at=0.0,
    )
    return order_sources(view, own)


@pytest.mark.parametrize(
    ('size', 'readers'),
    [
        (1, 1),
        (8, 8),
        (MAX_DIRECT_FLEET_SIZE, MAX_DIRECT_FLEET_SIZE),
        (20, 4),
        (77, 4),
    ],
)
def test_few_of_a_large_fleet_read_the_store(size, readers):
    fleet = make_fleet(size)
    orders = {own.name: order(fleet, own) for own in fleet}
    direct = [name for name, sources in orders.items() if not sources[0]]
    assert len(direct) == readers
    for own in fleet:
        sources = orders[own.name]
        assert own.peer not in sources
        # Each can go on alone.
        assert '' in sources
        if sources[0]:
            # A relay of the own region that itself reads the store.
            relay = next(one for one in fleet if one.peer == sources[0])
            assert relay.region == own.region
            assert relay.name in direct


def test_relays_share_the_followers():
    fleet = make_fleet(76)
    first = [order(fleet, own)[0] for own in fleet]
    counts = [first.count(peer) for peer in set(first) - {''}]
    assert max(counts) <= 27


def test_wide_links_are_relays():
    fleet = make_fleet(40)
    for wide in fleet[20:24]:
        wide.link_mbps = 100.0
    direct = [one for one in fleet if not order(fleet, one)[0]]
    assert direct == list(fleet[20:24])


def test_other_relays_take_over():
    fleet = make_fleet(40)
    own = next(one for one in fleet if order(fleet, one)[0])
    lost = order(fleet, own)[0]
    left = tuple(one for one in fleet if one.peer != lost)
    assert lost not in order(left, own)


def bring(revision, by_key, **more):
    return TableSnapshot(
        table='t', rows_by_key=by_key, revision=revision, read_at=0.0, **more
    )


FIRST = bring(5, {'a': b'1', 'b': b'2'}, newest_row_revision=4)
SECOND = bring(8, {'a': b'3', 'c': b'4'}, newest_row_revision=8)


@pytest.mark.parametrize(
    ('rows', 'after', 'by_key', 'revision'),
    [
        ([FIRST], -1, {'a': b'1', 'b': b'2'}, 5),
        ([FIRST, SECOND], -1, {'a': b'3', 'c': b'4'}, 8),
        ([FIRST, SECOND], 5, {'a': b'3', 'b': None, 'c': b'4'}, 8),
        ([FIRST, SECOND], 8, None, None),
        ([FIRST], 5, None, None),
        ([], -1, None, None),
    ],
)
async def test_what_peers_are_told(rows, after, by_key, revision):
    row_relay = RowRelay(clock=VirtualClock())
    for each in rows:
        row_relay.mailbox.post(each)
    asked = asyncio.create_task(
        row_relay.mailbox.ask(RowsRequest(table='t', after_revision=after))
    )
    await asyncio.sleep(0)
    row_relay.receive(row_relay.mailbox.get_all_nowait())
    await asyncio.sleep(0)
    assert asked.done() is (by_key is not None)
    if asked.done():
        answer = asked.result()
        assert (answer.rows_by_key, answer.revision) == (by_key, revision)
    asked.cancel()


async def test_what_was_before_is_not_known():
    row_relay = RowRelay(clock=VirtualClock())
    row_relay.mailbox.post(SECOND)
    asked = asyncio.create_task(
        row_relay.mailbox.ask(RowsRequest(table='t', after_revision=5))
    )
    await asyncio.sleep(0)
    row_relay.receive(row_relay.mailbox.get_all_nowait())
    assert await asked is None


class Named(Store, RelayPort):
    """Answer as each source does in a table of sources."""

    def __init__(self, ways):
        self.ways = ways
        self.asked = []

    async def read(self, table):
        return self.tell('')

    async def poll_changes(self, table, *, after, wait_s):
        return self.tell('')

    async def fetch(self, address, table, *, after, wait_s):
        return self.tell(address)

    def tell(self, source):
        self.asked.append(source)
        way = self.ways[source]
        if isinstance(way, Exception):
            raise way
        return RowsResponse(rows_by_key={}, revision=way)

    def report_stale(self, table):
        raise AssertionError

    async def write(self, table, rows):
        raise AssertionError

    async def close(self):
        raise AssertionError


AWAY = StoreAwayError('away')


@pytest.mark.parametrize(
    ('order', 'ways', 'asked', 'revision'),
    [
        (('', 'p'), {'': 7, 'p': 6}, [''], 7),
        (('', 'p'), {'': AWAY, 'p': 6}, ['', 'p'], 6),
        (('p', ''), {'': 7, 'p': 6}, ['p'], 6),
        (('p', 'q', ''), {'': 7, 'p': AWAY, 'q': AWAY}, ['p', 'q', ''], 7),
        (('', 'p'), {'': AWAY, 'p': AWAY}, ['', 'p'], None),
    ],
)
async def test_the_first_that_answers(order, ways, asked, revision):
    named, clock = Named(ways), VirtualClock()
    sources = FailoverStore(store=named, relays=named, clock=clock)
    sources.source_order = order
    try:
        response = await sources.poll_changes('t', after=1, wait_s=1)
    except StoreAwayError:
        assert revision is None
    else:
        assert response.revision == revision
    assert named.asked == asked
    # Those that failed are left alone for a while, then tried again.
    named.asked.clear()
    clock.at = SOURCE_COOLDOWN_S + 0.1
    named.ways = dict.fromkeys(ways, 9)
    await sources.read('t')
    assert named.asked == [order[0]]


@pytest.mark.parametrize(
    ('order', 'passed_s', 'asked'),
    [
        (('a', 'b', ''), 0.0, ['a', 'b']),
        (('', 'a'), 0.0, ['', 'a']),
        # The first choice is soon tried again.
        (('a', 'b', ''), SOURCE_COOLDOWN_S, ['a', 'a']),
    ],
)
async def test_who_is_behind_is_passed_over(order, passed_s, asked):
    clock = VirtualClock()
    named = Named({'': 3, 'a': 3, 'b': 9})
    sources = FailoverStore(store=named, relays=named, clock=clock)
    sources.source_order = order
    await sources.read('t')
    sources.report_stale('t')
    clock.at += passed_s
    await sources.read('t')
    assert named.asked == asked


async def test_a_lost_history_is_passed_on():
    named = Named({'': HistoryLostError('lost')})
    sources = FailoverStore(store=named, relays=named, clock=VirtualClock())
    with pytest.raises(HistoryLostError):
        await sources.poll_changes('t', after=1, wait_s=1)


async def test_an_instance_learns_from_peers():
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        store = find_free_address()
        await fleet.store.start(store)
        stack.push_async_callback(fleet.store.close)
        fleet.configure()
        await fleet.open_target('target-0', 'north-1')
        cut_off = await fleet.open_daemon('cut', 'north-1', find_free_address())
        own = cut_off.membership.membership_table.own_heartbeat.instance
        fleet.store.put('instances', 'cut', JsonInstanceCodec().encode(own))
        await fleet.open_daemon('sound', 'north-2', store)
        await wait_until(cut_off.is_ready)
        fleet.configure()
        await wait_until(lambda: cut_off.admission.state.version == 2)
        fleet.store.drop('servers', 'target-0')
        await wait_until(lambda: not cut_off.dispatcher.target_states)
