"""A reader whose relay has older rows than it, as the history is lost."""

import asyncio
from random import Random

import pytest

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.tasks import FailoverStore, Journal, RelayPort, TableFollower
from currantspur.tasks.mailbox import Mailbox
from tests.stores import ReadOnlyStore
from tests.test_admission import NullSink
from tests.test_lost_relays import PassThrough
from tests.virtual import LoopClock, run_virtual

TABLE = 'op'
# A change is in force at all instances in touch within this time.
APPLY_S = 2.5
KNOWN, NEWEST = 5, 9


def make_response(revision):
    return RowsResponse(
        rows_by_key={'row': str(revision).encode()},
        revision=revision,
        newest_row_revision=revision,
    )


class CompactedStore(ReadOnlyStore):
    """A store that forgot the changes and is away for a while."""

    def __init__(self, away_s):
        self.back_at = away_s

    async def read(self, table):
        await asyncio.sleep(0.01)
        if asyncio.get_running_loop().time() < self.back_at:
            raise StoreAwayError('away')
        return make_response(NEWEST)

    async def poll_changes(self, table, *, after, wait_s):
        await asyncio.sleep(0.01)
        raise HistoryLostError('store')


class OutdatedRelays(RelayPort):
    """Relays that lost the store, and the changes since an old revision."""

    def __init__(self, revisions):
        self.revisions = revisions

    async def fetch(self, address, table, *, after, wait_s, age_s):
        await asyncio.sleep(0.01)
        if after >= 0:
            raise HistoryLostError('peer')
        response = make_response(self.revisions[address])
        response.age_s = 5.0
        return response

    async def close(self):
        """Do nothing."""


async def follow(*, revisions, away_s):
    """Return the revisions that a reader of the relays publishes, in time."""
    clock = LoopClock()
    journal = Journal(sink=NullSink(), clock=clock)
    store = FailoverStore(
        store=CompactedStore(away_s),
        relay_client=OutdatedRelays(revisions),
        clock=clock,
        journal=journal,
    )
    store.source_order = (*revisions, '')
    subscriber = Mailbox()
    follower = TableFollower(
        table=TABLE,
        store=store,
        decoder=PassThrough(),
        subscribers=(subscriber,),
        row_relay=Mailbox(),
        clock=clock,
        journal=journal,
        random=Random(1),
    )
    follower.revision = KNOWN
    follower.highest_revision = KNOWN
    running = asyncio.ensure_future(follower.run())
    await asyncio.sleep(away_s + APPLY_S)
    running.cancel()
    return [each.message.revision for each in subscriber.get_all_nowait()]


# Guards against a reader that asks a relay with older rows for the whole table
# again and again, and so misses a change until that relay reaches the store.
@pytest.mark.parametrize('away_s', [0.0, 3.0])
@pytest.mark.parametrize(
    'revisions',
    [{'a': 3}, {'a': 3, 'b': 4}, {'a': 3, 'b': 4, 'c': 1}],
)
def test_outdated_relay_is_left_for_the_store(revisions, away_s):
    published = run_virtual(follow(revisions=revisions, away_s=away_s))
    assert NEWEST in published
    assert min(published) > KNOWN
