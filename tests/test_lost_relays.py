"""A fleet in virtual time that loses the instances which read the store."""

import asyncio
import zlib
from contextlib import AsyncExitStack
from random import Random

import pytest
from aiohttp.test_utils import make_mocked_request
from yarl import URL

from currantspur.decisions.table_sources import (
    count_relays,
    has_relays,
    order_sources,
)
from currantspur.errors import StoreAwayError
from currantspur.messages import FleetView, Instance
from currantspur.messages.table_rows import RowsResponse
from currantspur.pipelines.filter import Filter
from currantspur.tasks import (
    FailoverStore,
    Journal,
    RelayPort,
    RowRelay,
    TableFollower,
)
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.relays import (
    LONG_POLL_MARGIN_S,
    ROWS_PATH,
    RowRelayHandler,
    decode_response,
    make_query,
)
from tests.stores import ReadOnlyStore
from tests.test_admission import NullSink
from tests.virtual import LoopClock, run_virtual

TABLE = 'op'
# A change is in force at all instances in touch within this time.
APPLY_S = 2.5
STORE_DELAY_S = 0.04
PEER_DELAY_S = 0.004
# How long the client of the store waits beyond a long poll.
STORE_SILENCE_S = 1.5
SETTLE_S = 6.0
# Heartbeats show after this time that an instance is lost.
NOTICED_AFTER_S = 3.2
WATCHED_S = 9.0


class ChangingStore:
    """Rows of one table, whose only row is its revision."""

    def __init__(self):
        self.revision = 1
        self.changed_at = {1: 0.0}
        self.changed = asyncio.Event()

    def change(self, at):
        self.revision += 1
        self.changed_at[self.revision] = at
        self.changed.set()
        self.changed = asyncio.Event()

    def respond(self, after):
        rows = {'row': str(self.revision).encode()}
        return RowsResponse(
            rows_by_key=rows if self.revision > after else {},
            revision=self.revision,
            newest_row_revision=self.revision,
        )

    async def wait_for_change(self, after, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    await self.changed.wait()
        except TimeoutError:
            return


class StoreLink(ReadOnlyStore):
    """The store as one instance reaches it, or does not."""

    def __init__(self, node, store):
        self.node = node
        self.store = store

    async def read(self, table):
        return await self.poll_changes(table, after=-1, wait_s=0.0)

    async def poll_changes(self, table, *, after, wait_s):
        await asyncio.sleep(STORE_DELAY_S)
        lost = asyncio.ensure_future(self.node.lost.wait())
        waiting = asyncio.ensure_future(
            self.store.wait_for_change(after, wait_s)
        )
        await asyncio.wait((lost, waiting), return_when=asyncio.FIRST_COMPLETED)
        lost.cancel()
        waiting.cancel()
        if self.node.lost.is_set():
            # A silent connection is given up, a reset one is closed.
            await asyncio.sleep(
                0.0 if self.node.loss == 'reset' else wait_s + STORE_SILENCE_S
            )
            raise StoreAwayError('lost')
        await asyncio.sleep(STORE_DELAY_S)
        return self.store.respond(after)

    def report_stale(self, table, *, better_source):
        raise AssertionError('no peer reports its revision')


class PeerNetwork(RelayPort):
    """Peers by their addresses, without sockets."""

    def __init__(self):
        self.nodes = {}

    async def fetch(self, address, table, *, after, wait_s, age_s):
        node = self.nodes[address]
        query = make_query(table, after=after, wait_s=wait_s, age_s=age_s)
        request = make_mocked_request(
            'GET', str(URL(ROWS_PATH).with_query(query))
        )
        await asyncio.sleep(PEER_DELAY_S)
        handling = asyncio.ensure_future(node.handler.handle(request))
        frozen = asyncio.ensure_future(node.frozen.wait())
        try:
            await asyncio.wait(
                (handling, frozen),
                timeout=wait_s + LONG_POLL_MARGIN_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if node.frozen.is_set() or not handling.done():
                await asyncio.sleep(wait_s + LONG_POLL_MARGIN_S)
                raise StoreAwayError('peer: silent')
            response = handling.result()
        finally:
            handling.cancel()
            frozen.cancel()
        await asyncio.sleep(PEER_DELAY_S)
        body = zlib.decompress(response.body) if response.body else b''
        return decode_response(response.status, response.headers, body, after)

    async def close(self):
        """Do nothing."""


class PassThrough(Filter):
    def run(self, stream):
        return iter(stream)


class Node:
    """What an instance needs to read a table and to relay it."""

    def __init__(self, instance, network, open_link):
        clock = LoopClock()
        journal = Journal(sink=NullSink(), clock=clock)
        self.instance = instance
        self.loss = ''
        self.lost = asyncio.Event()
        self.frozen = asyncio.Event()
        self.subscriber = Mailbox()
        self.relay = RowRelay(clock=clock)
        self.failover_store = FailoverStore(
            store=open_link(self),
            relay_client=network,
            clock=clock,
            journal=journal,
        )
        self.follower = TableFollower(
            table=TABLE,
            store=self.failover_store,
            decoder=PassThrough(),
            subscribers=(self.subscriber,),
            row_relay=self.relay.mailbox,
            clock=clock,
            journal=journal,
            random=Random(instance.name),
        )
        self.handler = RowRelayHandler(
            self.relay.mailbox,
            get_age_s=lambda _table: clock.now() - self.follower.confirmed_at,
            get_era=lambda _table: 0,
        )
        network.nodes[instance.peer] = self

    def see(self, instances):
        """Choose sources as heartbeats of these instances would have it."""
        view = FleetView(
            live_instances=instances,
            fleet_size=len(instances),
            computed_at=0.0,
        )
        sources = order_sources(view, self.instance)
        self.failover_store.source_order = sources
        self.failover_store.row_ages.set_relay_count(
            count_relays(view, self.instance)
        )
        self.follower.follow_relays(
            is_relayed=bool(sources[0]), has_readers=has_relays(view)
        )

    def lose(self, loss):
        """Lose the store by resets or in silence, or freeze as a whole."""
        self.loss = loss
        self.lost.set()
        if loss == 'frozen':
            self.frozen.set()

    def list_arrivals(self):
        """Return each revision in force and when it came to be."""
        envelopes = self.subscriber.get_all_nowait()
        return [
            (each.message.revision, each.message.read_at) for each in envelopes
        ]


class Fleet:
    store_type = ChangingStore
    link_type = StoreLink

    def __init__(self, zones, per_zone):
        self.store = self.store_type()
        network = PeerNetwork()
        self.nodes = [
            Node(
                Instance(
                    name=f'{zone}-{number}',
                    availability_zone=zone,
                    region=zone[0],
                    address=f'{zone}-{number}:1',
                    peer=f'{zone}-{number}:2',
                ),
                network,
                self.open_link,
            )
            for zone in zones
            for number in range(per_zone)
        ]

    def open_link(self, node):
        return self.link_type(node, self.store)

    def update_views(self):
        sound = tuple(
            node.instance for node in self.nodes if not node.lost.is_set()
        )
        for node in self.nodes:
            node.see(sound)

    def list_readers(self):
        """Return the nodes that follow the store for others."""
        return [
            node
            for node in self.nodes
            if not node.lost.is_set()
            and not node.failover_store.source_order[0]
        ]

    async def run(self, stack):
        self.update_views()
        for node in self.nodes:
            for part in (node.relay, node.follower):
                stack.callback(asyncio.ensure_future(part.run()).cancel)
        await asyncio.sleep(SETTLE_S)

    async def change_often(self, random):
        while True:
            await asyncio.sleep(random.uniform(0.1, 2.0))
            self.store.change(asyncio.get_running_loop().time())

    def list_late(self, ends_at):
        """Yield each change that was late at a node in touch, and how late."""
        in_touch = [node for node in self.nodes if not node.lost.is_set()]
        for node in in_touch:
            arrivals = node.list_arrivals()
            for revision, changed_at in self.store.changed_at.items():
                known_at = [at for known, at in arrivals if known >= revision]
                took_s = min(known_at, default=ends_at) - changed_at
                if changed_at > 0 and took_s > APPLY_S:
                    yield node.instance.name, took_s


async def lose_in_turn(fleet, loss, pauses_s):
    """Lose the readers, one after each pause, and those that replace them."""
    for pause_s in pauses_s:
        for node in fleet.list_readers():
            node.lose(loss)
            await asyncio.sleep(pause_s)
        await asyncio.sleep(NOTICED_AFTER_S)
        fleet.update_views()


async def watch_fleet(*, zones, per_zone, loss, pauses_s, seed):
    random = Random(seed)
    fleet = Fleet(zones, per_zone)
    async with AsyncExitStack() as stack:
        await fleet.run(stack)
        # Readers are lost at any time within their polls.
        await asyncio.sleep(random.uniform(0, 1))
        changing = asyncio.ensure_future(fleet.change_often(random))
        await lose_in_turn(fleet, loss, pauses_s)
        await asyncio.sleep(WATCHED_S)
        changing.cancel()
        await asyncio.sleep(APPLY_S)
        ends_at = asyncio.get_running_loop().time()
        return list(fleet.list_late(ends_at))


ONE_REGION, THREE_REGIONS = ('a1', 'a2'), ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')


# Guards against a change that is missed while all instances which read the
# store for others are lost, as these and their readers take the word of each
# other for that of the store.
# In seed 8 heartbeats show the loss while a reader waits for a frozen relay.
@pytest.mark.parametrize('seed', [0, 1, 8])
@pytest.mark.parametrize(
    'pauses_s',
    [
        pytest.param((0.0,), id='at once'),
        pytest.param((1.0,), id='in turn'),
        pytest.param((0.0, 0.0), id='replaced'),
        pytest.param((1.5, 0.4), id='replaced in turn'),
    ],
)
@pytest.mark.parametrize('loss', ['reset', 'silent', 'frozen'])
@pytest.mark.parametrize(
    ('zones', 'per_zone'),
    [(ONE_REGION, 7), (('a1', 'a2', 'a3', 'a4'), 5), (THREE_REGIONS, 3)],
)
def test_change_reaches_readers_of_lost_relays(
    zones, per_zone, loss, pauses_s, seed
):
    late = run_virtual(
        watch_fleet(
            zones=zones,
            per_zone=per_zone,
            loss=loss,
            pauses_s=pauses_s,
            seed=seed,
        )
    )
    assert not late
