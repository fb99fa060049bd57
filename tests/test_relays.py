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
from currantspur.tasks import (
    FailoverStore,
    Journal,
    RelayPort,
    RowRelay,
    Store,
)
from currantspur.tasks.failover_store import (
    FIRST_POLL_S,
    PEER_LONG_POLL_S,
    SOURCE_COOLDOWN_S,
    STORE_COOLDOWN_S,
)
from currantspur.wire.heartbeats import JsonInstanceCodec
from tests.test_admission import NullSink
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


def find_source_order(fleet, own):
    view = FleetView(
        live_instances=fleet,
        fleet_size=len(fleet),
        computed_at=0.0,
    )
    return order_sources(view, own)


@pytest.mark.parametrize(
    ('size', 'direct_readers'),
    [
        (1, 1),
        (8, 8),
        (MAX_DIRECT_FLEET_SIZE, MAX_DIRECT_FLEET_SIZE),
        (20, 4),
        (77, 4),
    ],
)
def test_only_relays_read_store_in_large_fleet(size, direct_readers):
    fleet = make_fleet(size)
    orders = {own.name: find_source_order(fleet, own) for own in fleet}
    direct_names = [
        name for name, source_order in orders.items() if not source_order[0]
    ]
    assert len(direct_names) == direct_readers
    for own in fleet:
        source_order = orders[own.name]
        assert own.peer not in source_order
        # Every instance can read the store itself if peers fail.
        assert '' in source_order
        if source_order[0]:
            # The relay is in the same region and reads the store itself.
            relay = next(
                instance
                for instance in fleet
                if instance.peer == source_order[0]
            )
            assert relay.region == own.region
            assert relay.name in direct_names


def test_instances_are_spread_over_relays():
    fleet = make_fleet(76)
    first_sources = [find_source_order(fleet, own)[0] for own in fleet]
    counts = [first_sources.count(peer) for peer in set(first_sources) - {''}]
    assert max(counts) <= 27


def test_instances_with_widest_links_are_relays():
    fleet = make_fleet(40)
    for instance in fleet[20:24]:
        instance.link_mbps = 100.0
    direct_readers = [
        instance
        for instance in fleet
        if not find_source_order(fleet, instance)[0]
    ]
    assert direct_readers == list(fleet[20:24])


def test_relay_that_is_no_longer_live_is_replaced():
    fleet = make_fleet(40)
    own = next(
        instance for instance in fleet if find_source_order(fleet, instance)[0]
    )
    former_relay = find_source_order(fleet, own)[0]
    remaining = tuple(
        instance for instance in fleet if instance.peer != former_relay
    )
    assert former_relay not in find_source_order(remaining, own)


def make_snapshot(revision, rows_by_key, **options):
    return TableSnapshot(
        table='t',
        rows_by_key=rows_by_key,
        revision=revision,
        read_at=0.0,
        **options,
    )


FIRST = make_snapshot(5, {'a': b'1', 'b': b'2'}, newest_row_revision=4)
SECOND = make_snapshot(8, {'a': b'3', 'c': b'4'}, newest_row_revision=8)


@pytest.mark.parametrize(
    ('snapshots', 'after', 'rows_by_key', 'revision'),
    [
        ([FIRST], -1, {'a': b'1', 'b': b'2'}, 5),
        ([FIRST, SECOND], -1, {'a': b'3', 'c': b'4'}, 8),
        ([FIRST, SECOND], 5, {'a': b'3', 'b': None, 'c': b'4'}, 8),
        ([FIRST, SECOND], 8, None, None),
        ([FIRST], 5, None, None),
        ([], -1, None, None),
    ],
)
async def test_peers_get_rows_changed_after_revision(
    snapshots, after, rows_by_key, revision
):
    row_relay = RowRelay(clock=VirtualClock())
    for snapshot in snapshots:
        row_relay.mailbox.post(snapshot)
    request = asyncio.create_task(
        row_relay.mailbox.ask(RowsRequest(table='t', after_revision=after))
    )
    await asyncio.sleep(0)
    row_relay.receive(row_relay.mailbox.get_all_nowait())
    await asyncio.sleep(0)
    assert request.done() is (rows_by_key is not None)
    if request.done():
        response = request.result()
        assert (response.rows_by_key, response.revision) == (
            rows_by_key,
            revision,
        )
    request.cancel()


async def test_revision_older_than_history_gets_none():
    row_relay = RowRelay(clock=VirtualClock())
    row_relay.mailbox.post(SECOND)
    request = asyncio.create_task(
        row_relay.mailbox.ask(RowsRequest(table='t', after_revision=5))
    )
    await asyncio.sleep(0)
    row_relay.receive(row_relay.mailbox.get_all_nowait())
    assert await request is None


class ScriptedSources(Store, RelayPort):
    """Respond for each source with its revision or its error."""

    def __init__(self, response_by_source):
        self.response_by_source = response_by_source
        self.asked_sources = []

    async def read(self, table):
        return self.respond('')

    async def read_range(self, table, from_key, to_key):
        return self.respond('')

    async def poll_changes(self, table, *, after, wait_s):
        return self.respond('')

    async def fetch(self, address, table, *, after, wait_s, age_s):
        return self.respond(address)

    def respond(self, source):
        self.asked_sources.append(source)
        response = self.response_by_source[source]
        if isinstance(response, Exception):
            raise response
        return RowsResponse(rows_by_key={}, revision=response)

    def report_stale(self, table, *, better_source):
        raise AssertionError

    async def write(self, table, rows):
        raise AssertionError

    async def close(self):
        raise AssertionError


def make_failover_store(sources, clock):
    journal = Journal(sink=NullSink(), clock=clock)
    return FailoverStore(
        store=sources, relay_client=sources, clock=clock, journal=journal
    )


NO_RESPONSE = StoreAwayError('no response')


@pytest.mark.parametrize(
    ('order', 'response_by_source', 'asked_sources', 'revision'),
    [
        (('', 'p'), {'': 7, 'p': 6}, [''], 7),
        (('', 'p'), {'': NO_RESPONSE, 'p': 6}, ['', 'p'], 6),
        (('p', ''), {'': 7, 'p': 6}, ['p'], 6),
        (
            ('p', 'q', ''),
            {'': 7, 'p': NO_RESPONSE, 'q': NO_RESPONSE},
            ['p', 'q', ''],
            7,
        ),
        (('', 'p'), {'': NO_RESPONSE, 'p': NO_RESPONSE}, ['', 'p'], None),
    ],
)
async def test_first_source_that_responds_is_used(
    order, response_by_source, asked_sources, revision
):
    scripted, clock = ScriptedSources(response_by_source), VirtualClock()
    store = make_failover_store(scripted, clock)
    store.source_order = order
    try:
        response = await store.poll_changes('t', after=1, wait_s=1)
    except StoreAwayError:
        assert revision is None
    else:
        assert response.revision == revision
    assert scripted.asked_sources == asked_sources
    # Sources that failed are asked again after their cooldown.
    scripted.asked_sources.clear()
    clock.at = SOURCE_COOLDOWN_S + 0.1
    scripted.response_by_source = dict.fromkeys(response_by_source, 9)
    await store.read('t')
    assert scripted.asked_sources == [order[0]]


@pytest.mark.parametrize(
    ('order', 'better', 'passed_s', 'asked_sources'),
    [
        (('a', 'b', ''), 'b', 0.0, ['a', 'b', 'b']),
        # A peer with newer rows is asked once, then the usual sources.
        (('', 'a'), 'c', 0.0, ['', 'c', 'a']),
        # After the cooldown the preferred source is asked again.
        (('a', 'b', ''), 'c', SOURCE_COOLDOWN_S, ['a', 'c', 'a']),
    ],
)
async def test_stale_source_is_skipped_during_cooldown(
    order, better, passed_s, asked_sources
):
    clock = VirtualClock()
    scripted = ScriptedSources({'': 3, 'a': 3, 'b': 9, 'c': 9})
    store = make_failover_store(scripted, clock)
    store.source_order = order
    await store.read('t')
    store.report_stale('t', better_source=better)
    await store.read('t')
    clock.at += passed_s
    await store.read('t')
    assert scripted.asked_sources == asked_sources


class WaitingSources(ScriptedSources):
    """Keep how long the store was asked to wait."""

    async def poll_changes(self, table, *, after, wait_s):
        self.asked_waits_s.append(wait_s)
        return self.respond('')


# Guards against a store that is back, from a copy perhaps, and not noticed: an
# instance that had turned to peers waited in a long poll for its next change.
@pytest.mark.parametrize(
    ('order', 'cooldown_s', 'waits_s'),
    [
        (('', 'p'), STORE_COOLDOWN_S, [10.0, FIRST_POLL_S, 10.0]),
        (
            ('p', ''),
            SOURCE_COOLDOWN_S,
            [PEER_LONG_POLL_S, FIRST_POLL_S, PEER_LONG_POLL_S],
        ),
    ],
)
async def test_first_poll_after_failure_is_short(order, cooldown_s, waits_s):
    clock = VirtualClock()
    scripted = WaitingSources({'': NO_RESPONSE, 'p': NO_RESPONSE})
    scripted.asked_waits_s = []
    store = make_failover_store(scripted, clock)
    store.source_order = order
    with pytest.raises(StoreAwayError):
        await store.poll_changes('t', after=1, wait_s=10.0)
    clock.at = cooldown_s
    scripted.response_by_source[''] = 1
    for _ in range(2):
        await store.poll_changes('t', after=1, wait_s=10.0)
    assert scripted.asked_waits_s == waits_s


async def test_lost_history_of_source_raises_error():
    scripted = ScriptedSources({'': HistoryLostError('lost')})
    store = make_failover_store(scripted, VirtualClock())
    with pytest.raises(HistoryLostError):
        await store.poll_changes('t', after=1, wait_s=1)


async def test_instance_without_store_follows_peers():
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        store_address = find_free_address()
        await fleet.store.start(store_address)
        stack.push_async_callback(fleet.store.close)
        fleet.configure()
        await fleet.open_target('target-0', 'north-1')
        cut_off = await fleet.open_daemon('cut', 'north-1', find_free_address())
        own = cut_off.membership.membership_table.own_heartbeat.instance
        fleet.store.put('instances', 'cut', JsonInstanceCodec().encode(own))
        await fleet.open_daemon('sound', 'north-2', store_address)
        await wait_until(cut_off.is_ready)
        fleet.configure()
        await wait_until(lambda: cut_off.admission.state.version == 2)
        fleet.store.remove('servers', 'target-0')
        await wait_until(lambda: not cut_off.dispatcher.target_states)
