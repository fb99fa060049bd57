"""A fleet in virtual time whose store falls silent about a change."""

import asyncio
import itertools
from contextlib import AsyncExitStack
from functools import partial
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages.revisions import get_era, make_revision
from currantspur.platform.store import CALL_TIMEOUT_S, LONG_POLL_MARGIN_S
from currantspur.tasks.membership import (
    CROSS_REGION_HEARTBEAT_EVERY,
    HEARTBEAT_INTERVAL_S,
    JITTER_FACTORS,
)
from tests.stores import ReadOnlyStore
from tests.test_lost_relays import (
    APPLY_S,
    STORE_DELAY_S,
    ChangingStore,
    Fleet,
)
from tests.virtual import run_virtual

# An instance is in touch so long after the end of a silence.
CONTACT_S = 4.0
LONGEST_SILENCE_S = 4.5
# A region that the store refuses learns of a change by heartbeats of others.
REFUSED_APPLY_S = APPLY_S + (
    HEARTBEAT_INTERVAL_S * max(JITTER_FACTORS) * CROSS_REGION_HEARTBEAT_EVERY
)
# The moments of changes, in seconds after the end of a silence.
CHANGES_AFTER_S = (0.3, 4.0, 4.1, 7.0, 12.0)
# Zones, and the instances in each.
ZONES = ('a1', 'a2', 'b1', 'b2', 'c1')
FLEETS = {
    1: (ZONES[:1], 1),
    3: (ZONES[:3], 1),
    8: (ZONES[:4], 2),
    12: (ZONES[:4], 3),
    # The smallest fleet that reads through relays.
    13: (ZONES[:1], 13),
    15: (ZONES, 3),
    65: (ZONES, 13),
}


def now():
    return asyncio.get_running_loop().time()


class SilentStore(ChangingStore):
    """A store that leaves calls unanswered for a while.

    It has no answer for calls that arrive, or whose answer is due, meanwhile.
    """

    def __init__(self):
        super().__init__()
        self.era = 0
        self.is_silent = False

    def restore(self):
        """Come back in another era, in which versions count on."""
        self.era += 1
        self.revision = make_revision(era=self.era, version=self.revision)
        self.change(now())

    def respond(self, after):
        if after >= 0 and get_era(after) != self.era:
            raise HistoryLostError('era')
        return super().respond(after)


class SilentLink(ReadOnlyStore):
    """The store as one instance reaches it; refused at once if turned away."""

    def __init__(self, node, store):
        self.node = node
        self.store = store

    async def read(self, table):
        return await self.call(-1, wait_s=0.0, timeout_s=CALL_TIMEOUT_S)

    async def poll_changes(self, table, *, after, wait_s):
        timeout_s = wait_s + LONG_POLL_MARGIN_S
        return await self.call(after, wait_s=wait_s, timeout_s=timeout_s)

    async def call(self, after, *, wait_s, timeout_s):
        gives_up_at = now() + timeout_s
        await asyncio.sleep(STORE_DELAY_S)
        if self.node.lost.is_set():
            raise StoreAwayError('turned away')
        if not self.store.is_silent:
            await self.store.wait_for_change(after, wait_s)
        if not self.store.is_silent:
            await asyncio.sleep(STORE_DELAY_S)
            return self.store.respond(after)
        await asyncio.sleep(gives_up_at - now())
        raise StoreAwayError('silent')


class SilentFleet(Fleet):
    """A fleet that exchanges heartbeats."""

    store_type = SilentStore
    link_type = SilentLink

    async def exchange_heartbeats(self, random):
        rounds = 0
        while True:
            rounds += 1
            for node in self.nodes:
                self.send_heartbeat(node, rounds)
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * random.uniform(*JITTER_FACTORS)
            )

    def send_heartbeat(self, sender, rounds):
        is_wide = rounds % CROSS_REGION_HEARTBEAT_EVERY == 0
        own = sender.instance
        for node in self.nodes:
            if node is sender:
                continue
            if is_wide or node.instance.region == own.region:
                node.follower.expect_era(
                    get_era(sender.follower.newest_row_revision)
                )
                node.follower.check_peer_revision(
                    sender.follower.newest_row_revision, now(), peer=own.peer
                )

    def list_overdue(self, in_touch_at, ends_at, apply_s=APPLY_S):
        """Yield changes not in force in time at an instance in touch."""
        for node in self.nodes:
            arrivals = node.list_arrivals()
            for revision, changed_at in self.store.changed_at.items():
                due_at = max(changed_at + apply_s, in_touch_at)
                known_at = min(
                    (at for known, at in arrivals if known >= revision),
                    default=ends_at,
                )
                if known_at > due_at:
                    yield node.instance.name, revision, known_at - due_at


async def watch(size, disturb, **bounds):
    """Disturb a fleet about a change; return the changes that came late.

    `disturb` returns when the disturbance is over. Keywords replace bounds of
    list_overdue.
    """
    fleet = SilentFleet(*FLEETS[size])
    async with AsyncExitStack() as stack:
        await fleet.run(stack)
        heartbeats = asyncio.ensure_future(
            fleet.exchange_heartbeats(Random(size))
        )
        stack.callback(heartbeats.cancel)
        await disturb(fleet)
        over_at = now()
        for after_s in CHANGES_AFTER_S:
            await asyncio.sleep(over_at + after_s - now())
            fleet.store.change(now())
        await asyncio.sleep(APPLY_S)
        bounds = {'in_touch_at': over_at + CONTACT_S} | bounds
        return list(fleet.list_overdue(ends_at=now(), **bounds))


async def fall_silent(fleet, *, offset_s, for_s, is_restored=False):
    """Let the store be silent from some seconds after, or before, a change."""
    store = fleet.store
    if offset_s >= 0:
        store.change(now())
    await asyncio.sleep(abs(offset_s))
    store.is_silent = True
    await asyncio.sleep(for_s)
    store.is_silent = False
    if is_restored:
        store.restore()


async def turn_away(fleet, *, region, for_s):
    """Let the store refuse all instances of a region while changes are made."""
    refused = [node for node in fleet.nodes if node.instance.region == region]
    for node in refused:
        node.lost.set()
    for _ in range(int(for_s)):
        fleet.store.change(now())
        await asyncio.sleep(1.0)
    for node in refused:
        node.lost.clear()


OFFSETS_S = (-0.5, 0.0, 0.1, 0.3, 0.6, 2.0)
SILENCES_S = (0.3, 1.0, 2.0, LONGEST_SILENCE_S)
SILENCES = [
    *itertools.product((1, 3, 8, 12), SILENCES_S, OFFSETS_S, (False,)),
    *itertools.product((1, 3, 8, 12), SILENCES_S, (0.1, 0.3), (True,)),
    *itertools.product((13, 15), SILENCES_S, (0.0, 0.3), (False, True)),
    *itertools.product((65,), (0.3, LONGEST_SILENCE_S), (0.3,), (False, True)),
]


# Guards against a change that stays unknown since the store left the polls of
# the whole fleet unanswered in a silence, however short, before it.
@pytest.mark.parametrize(('size', 'for_s', 'offset_s', 'is_restored'), SILENCES)
def test_change_after_a_silence_is_in_force(size, for_s, offset_s, is_restored):
    disturb = partial(
        fall_silent, offset_s=offset_s, for_s=for_s, is_restored=is_restored
    )
    assert not run_virtual(watch(size, disturb))


# Guards against the same at moments and lengths that no table lists.
@hypothesis_settings(max_examples=60, deadline=None)
@given(
    size=st.sampled_from([1, 3, 8, 12]),
    for_s=st.floats(0.3, LONGEST_SILENCE_S),
    offset_s=st.floats(-1.0, 3.0),
)
def test_change_after_any_silence_is_in_force(size, for_s, offset_s):
    disturb = partial(fall_silent, offset_s=offset_s, for_s=for_s)
    assert not run_virtual(watch(size, disturb))


# Guards against changes that a region misses while the store refuses all of its
# instances, though peers elsewhere tell of them.
@pytest.mark.parametrize('for_s', [3.0, 9.0, 20.0])
@pytest.mark.parametrize('size', [8, 12, 15])
def test_region_turned_away_learns_from_others(size, for_s):
    late = run_virtual(
        watch(
            size,
            partial(turn_away, region='b', for_s=for_s),
            in_touch_at=0.0,
            apply_s=REFUSED_APPLY_S,
        )
    )
    assert not late
