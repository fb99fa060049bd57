"""Tables of failures for versions, freshness and members, in virtual time."""

import asyncio

import pytest

from currantspur.errors import PlatformError
from currantspur.standins.faults import Fault
from tests.control_fleet import (
    FRESH_S,
    KEPT,
    KEPT_SECRET,
    WITHDRAWN,
    WITHDRAWN_SECRET,
    ControlFleet,
    describe,
)
from tests.virtual import run_virtual

ZONES = ('north', 'north', 'centre', 'centre', 'south', 'south')
EVERY = {f'entry-{number}' for number in range(1, 7)}
CUT_OFF = {'entry-5', 'entry-6'}
CUT = EVERY - CUT_OFF
WRITER = 'entry-5'
REST = sorted(EVERY - {WRITER})
FAULT_S = 8
WITHDRAW_S = 10
RESTART_S = 16
CHECK_S = 24
HEAL_S = 25
END_S = 34
STEP_S = 0.25
IN_FORCE_S = 3.0
RECOVER_S = 2


def set_faults(*faults):
    return lambda fleet: fleet.faults.replace(
        [Fault(**fault) for fault in faults]
    )


DOWN = {'kind': 'outage'}
SLOW = {'kind': 'slow', 'seconds': 1.0}
LOST = {'kind': 'lost_answer', 'calls': ['commit'], 'count': 1}
ALONE = {'kind': 'outage', 'parties': sorted(CUT_OFF)}
ONE_SEES = {'kind': 'outage', 'parties': sorted(EVERY - {'entry-5'})}


def cut_peers(fleet):
    fleet.cut(CUT_OFF, CUT)


def pause(name):
    return lambda fleet: fleet.nodes[name].clock.resumed.clear()


def crash(name):
    return lambda fleet: fleet.crash(name)


def restart_one(name):
    return lambda fleet: fleet.restart(name)


def cut_writer(fleet):
    fleet.cut({WRITER}, EVERY - {WRITER})


def heal(fleet):
    fleet.faults.replace([])
    fleet.cuts.clear()
    for node in fleet.nodes.values():
        node.clock.resumed.set()


class Watch:
    """Sample what each instance admits and which version it runs."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.samples = []
        self.in_force = {}

    async def run(self):
        while True:
            for name, node in list(self.fleet.nodes.items()):
                await self.sample(name, node)
            await asyncio.sleep(STEP_S)

    async def sample(self, name, node):
        at = self.fleet.clock.now()
        kept = await node.admits(KEPT_SECRET)
        withdrawn = await node.admits(WITHDRAWN_SECRET)
        version = node.control.follower.version
        self.samples.append((at, name, kept, withdrawn, version, id(node)))
        self.in_force.setdefault((name, version), at)

    def serving(self, at):
        return {
            name
            for when, name, kept, *_ in self.samples
            if at <= when < at + STEP_S and kept
        }

    def last_withdrawn(self):
        return max(at for at, _, _, admitted, *_ in self.samples if admitted)

    def check_versions(self):
        newest = {}
        for _, _, _, _, version, node in self.samples:
            assert version >= newest.get(node, 0)
            newest[node] = version


async def withdraw(fleet, writer, log):
    change = {'base': 1, 'change_id': 'withdraw', 'author': 'ana'}
    while not log:
        try:
            head = await fleet.commit(writer, describe(KEPT), **change)
        except PlatformError:
            await asyncio.sleep(1)
        else:
            log.append((fleet.clock.now(), head.version))


async def follow(fleet, script):
    for at, action in script:
        await asyncio.sleep(at - fleet.clock.now())
        action(fleet)


async def play(script, *, writer='entry-1'):
    fleet = ControlFleet(ZONES)
    await asyncio.sleep(3)
    await fleet.commit(
        'entry-1', describe(KEPT, WITHDRAWN), base=0, change_id='first'
    )
    watch = Watch(fleet)
    watching = asyncio.create_task(watch.run())
    log = []
    failing = asyncio.create_task(follow(fleet, script))
    await asyncio.sleep(WITHDRAW_S - fleet.clock.now())
    writing = asyncio.create_task(withdraw(fleet, writer, log))
    await asyncio.sleep(END_S - WITHDRAW_S)
    await failing
    writing.cancel()
    watching.cancel()
    fleet.close()
    return fleet, watch, log


def check_promises(fleet, watch, reached):
    watch.check_versions()
    landed = fleet.table.landed[1]
    assert watch.last_withdrawn() <= landed + FRESH_S
    for name in reached & fleet.zones.keys():
        assert watch.in_force[name, 2] <= landed + IN_FORCE_S
    assert {name for name, version in watch.in_force if version == 2} >= EVERY


TABLE = {
    'no fault': ([], EVERY, True),
    'store down': ([set_faults(DOWN)], EVERY, False),
    'store slow': ([set_faults(SLOW)], EVERY, True),
    'answer lost': ([set_faults(LOST)], EVERY, True),
    'paused': ([pause('entry-3')], EVERY - {'entry-3'}, True),
    'cut from platform': ([set_faults(ALONE)], EVERY, True),
    'cut from peers': ([cut_peers], EVERY, True),
    'cut from both': ([set_faults(ALONE), cut_peers], CUT, True),
    'store seen by one': ([set_faults(ONE_SEES)], EVERY, False),
    'down and paused': (
        [set_faults(DOWN), pause('entry-3')],
        EVERY - {'entry-3'},
        False,
    ),
    'down and cut from peers': ([set_faults(DOWN), cut_peers], CUT, False),
    'slow and paused': (
        [set_faults(SLOW), pause('entry-3')],
        EVERY - {'entry-3'},
        True,
    ),
    'slow and cut from both': (
        [set_faults(SLOW, ALONE), cut_peers],
        CUT,
        True,
    ),
    'lost and cut from both': (
        [set_faults(LOST, ALONE), cut_peers],
        CUT,
        True,
    ),
    'lost and paused': (
        [set_faults(LOST), pause('entry-3')],
        EVERY - {'entry-3'},
        True,
    ),
}


# Without the store a restarted committer cannot vouch: two of five are left.
NO_MAJORITY = {('down and cut from peers', 'entry-4')}


@pytest.mark.parametrize('restart', [None, 'entry-4'])
@pytest.mark.parametrize('name', TABLE)
def test_promises_under_faults(name, restart):
    faults, serving, accepted = TABLE[name]
    if (name, restart) in NO_MAJORITY:
        serving = set()
    script = [(FAULT_S, fault) for fault in faults]
    if restart:
        script.append((RESTART_S, restart_one(restart)))
    script.append((HEAL_S, heal))
    fleet, watch, log = run_virtual(play(script))
    assert watch.serving(CHECK_S) == serving
    assert watch.serving(HEAL_S + RECOVER_S) == EVERY
    assert (log[0][0] < HEAL_S) is accepted
    if accepted:
        check_promises(fleet, watch, serving - {restart})
    else:
        check_promises(fleet, watch, EVERY)


SLOW_WRITE = {
    'kind': 'slow',
    'seconds': 3.0,
    'calls': ['commit'],
    'parties': [WRITER],
}
SLOW_READ = {
    'kind': 'slow_answer',
    'seconds': 1.2,
    'calls': ['read'],
    'parties': sorted(CUT_OFF),
}
REST_AWAY = {'kind': 'outage', 'parties': REST}
SENT_S = 11
LANDS_S = 12.9
RESTARTS = [(SENT_S, restart_one(name)) for name in REST]
# The writer is the only one that may reach the store when its write lands.
RACES = {
    'writer cut off while its write is under way': (
        [
            (FAULT_S, set_faults(SLOW_WRITE, REST_AWAY)),
            (SENT_S, cut_writer),
        ],
        {WRITER},
    ),
    'witnesses restart and cannot register': (
        [
            (FAULT_S, set_faults(SLOW_WRITE, REST_AWAY)),
            (SENT_S, cut_writer),
            *RESTARTS,
        ],
        {WRITER},
    ),
    'witnesses restart and register before it lands': (
        [
            (FAULT_S, set_faults(SLOW_WRITE)),
            *RESTARTS,
            (LANDS_S, set_faults(SLOW_WRITE, REST_AWAY)),
            (LANDS_S, cut_writer),
        ],
        EVERY,
    ),
    'writer crashes while its write is under way': (
        [
            (FAULT_S, set_faults(SLOW_WRITE)),
            (SENT_S, restart_one(WRITER)),
            (LANDS_S + 8, set_faults(DOWN)),
        ],
        EVERY,
    ),
    'cut off while slow answers are under way': (
        [
            (FAULT_S, set_faults(SLOW_READ)),
            (FAULT_S, cut_peers),
            (WITHDRAW_S, set_faults(SLOW_READ, ALONE)),
        ],
        CUT,
    ),
    'two committers dead, then the store': (
        [
            (FAULT_S, crash('entry-2')),
            (FAULT_S, crash('entry-3')),
            (SENT_S, set_faults(DOWN)),
        ],
        EVERY - {'entry-2', 'entry-3'},
    ),
    'three committers dead, then the store': (
        [
            (FAULT_S, crash('entry-2')),
            (FAULT_S, crash('entry-3')),
            (FAULT_S, crash('entry-4')),
            (SENT_S, set_faults(DOWN)),
        ],
        set(),
    ),
}


WRITERS = {'cut off while slow answers are under way': 'entry-1'}


@pytest.mark.parametrize('name', RACES)
def test_promises_when_writes_race_failures(name):
    script, serving = RACES[name]
    fleet, watch, _ = run_virtual(
        play([*script, (HEAL_S, heal)], writer=WRITERS.get(name, WRITER))
    )
    watch.check_versions()
    assert watch.serving(CHECK_S) == serving
    if len(fleet.table.landed) > 1:
        assert watch.last_withdrawn() <= fleet.table.landed[1] + FRESH_S
