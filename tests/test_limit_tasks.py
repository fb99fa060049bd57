import asyncio
from itertools import groupby

import pytest

from currantspur.decisions.identity import mint_key
from currantspur.decisions.planning import plan_limits, rank_members
from currantspur.errors import ConflictError, PeerAwayError
from currantspur.messages import (
    Arrival,
    Configuration,
    Head,
    InForce,
    Instance,
    Membership,
    Part,
    Parts,
    Plan,
    Proof,
    Region,
    Route,
    Team,
)
from currantspur.tasks import AdmissionTask, Committer, Journal, PeerPort, Task
from currantspur.tasks.allotment import AllotmentTask
from currantspur.tasks.loans import LoanCaller
from currantspur.tasks.planner import SUBJECT, Planner
from tests.virtual import VirtualClock

FRESH_S = 1.5
HOP_S = 0.02
SECRET, KEPT = mint_key('t')
MEMBERS = tuple(
    Instance(
        name=name, address='', peer=name, availability_zone=f'north-{index}'
    )
    for index, name in enumerate('abc', start=1)
)


def describe(*, rate=30, burst=30):
    return Configuration(
        routes=(
            Route(prefix='/status', service='s'),
            Route(prefix='/open', service='s', access='open'),
        ),
        teams=(Team(name='t', rate=rate, burst=burst),),
        keys=(KEPT,),
        regions=(
            Region(
                name='north',
                availability_zones=('north-1', 'north-2', 'north-3'),
                intake_rate=3,
                intake_burst=300,
            ),
        ),
    )


def open_version(number, configuration=None, plan=None, skipped=()):
    head = Head(version=number, sections={}, author='a', change_id=str(number))
    return InForce(
        head=head,
        configuration=configuration or describe(),
        plan=plan,
        skipped=skipped,
    )


class Reader(Task):
    def __init__(self):
        super().__init__()
        self.seen = []

    def receive(self, letters):
        self.seen.extend(letter.message for letter in letters)


@pytest.mark.parametrize(
    ('waits', 'expected'),
    [
        ([1.6], [None]),
        ([1.7], [None, 10]),
        ([1.7, 0.1], [None, 10]),
        # A smaller part counts at once, a larger one late.
        ([1.7, 'shrink'], [None, 10, 5]),
        ([1.7, 'shrink', 2.0, 'grow', 1.6], [None, 10, 5]),
        ([1.7, 'shrink', 2.0, 'grow', 1.7], [None, 10, 5, 10]),
        ([1.7, 'skip', 1.6], [None, 10, None]),
        ([1.7, 'skip', 1.7], [None, 10, None, 10]),
    ],
)
async def test_parts_grow_in_time(waits, expected):
    clock = VirtualClock()
    reader = Reader()
    task = AllotmentTask(
        instance='a',
        clock=clock,
        freshness_s=FRESH_S,
        readers=(reader.mailbox,),
    )
    jobs = [asyncio.create_task(one.run()) for one in (task, reader)]
    plan = plan_limits(describe(), MEMBERS, {}, Plan())
    versions = {
        'shrink': open_version(2, describe(rate=15, burst=15), plan),
        'grow': open_version(3, describe(), plan),
        'skip': open_version(9, describe(), plan, None),
    }
    task.mailbox.post(open_version(1, describe(), plan))
    for wait in waits:
        if isinstance(wait, str):
            task.mailbox.post(versions[wait])
            await clock.advance(0)
        else:
            await clock.advance(wait)
    for job in jobs:
        job.cancel()
    rates = [read_rate(parts) for parts in reader.seen]
    assert [rate for rate, _ in groupby(rates)] == expected


def read_rate(parts):
    found = [part for name, part in parts.by_limit.items() if 'team' in name]
    return found[0].rate if found else None


class FakeCommitter(Committer):
    def __init__(self, errors=()):
        self.errors = list(errors)
        self.changes = []

    async def commit(self, change):
        self.changes.append(change)
        if self.errors:
            raise self.errors.pop(0)
        return Head(
            version=change.base_version + 1,
            sections={},
            author=change.author,
            change_id=change.change_id,
        )


def open_planner(clock, rank, errors=()):
    names = [one.name for one in rank_members(SUBJECT, MEMBERS)]
    planner = Planner(
        instance=names[rank], clock=clock, journal=Journal().mailbox
    )
    planner.committer = FakeCommitter(errors)
    planner.learn(Membership(instances=MEMBERS))
    planner.learn(open_version(1))
    return planner


@pytest.mark.parametrize(
    ('rank', 'errors', 'seconds', 'plans'),
    [
        (0, [], 0.15, 0),
        (0, [], 0.5, 1),
        (0, [], 9.0, 1),
        (0, [ConflictError('lost')], 0.5, 1),
        (0, [ConflictError('lost')], 9.0, 2),
        (1, [], 3.9, 0),
        (1, [], 4.5, 1),
        (2, [], 7.9, 0),
        (2, [], 8.5, 1),
    ],
)
async def test_who_plans_when(rank, errors, seconds, plans):
    clock = VirtualClock()
    planner = open_planner(clock, rank, errors)
    job = asyncio.create_task(planner.run())
    await clock.advance(seconds)
    job.cancel()
    assert len(planner.committer.changes) == plans


@pytest.mark.parametrize(
    ('message', 'plans'),
    [
        (None, 0),
        (Membership(instances=MEMBERS), 0),
        (Membership(instances=MEMBERS[:2]), 1),
        (open_version(3, describe(rate=99)), 1),
    ],
)
async def test_a_plan_is_made_only_for_a_change(message, plans):
    clock = VirtualClock()
    planner = open_planner(clock, 0)
    plan = plan_limits(describe(), MEMBERS, {}, Plan())
    planner.learn(open_version(2, describe(), plan))
    job = asyncio.create_task(planner.run())
    await clock.advance(5)
    assert not planner.committer.changes
    if message is not None:
        planner.mailbox.post(message)
    live = getattr(message, 'instances', MEMBERS)
    planner.instance = rank_members(SUBJECT, live)[0].name
    await clock.advance(0.8)
    job.cancel()
    assert len(planner.committer.changes) == plans


@pytest.mark.parametrize(('seconds', 'plans'), [(4.9, 0), (5.5, 1)])
async def test_a_young_planner_keeps_the_plan(seconds, plans):
    clock = VirtualClock()
    planner = open_planner(clock, 0)
    plan = plan_limits(describe(), MEMBERS, {}, Plan())
    planner.learn(open_version(2, describe(), plan))
    planner.learn(Membership(instances=MEMBERS[:1]))
    planner.instance = MEMBERS[0].name
    job = asyncio.create_task(planner.run())
    await clock.advance(seconds)
    job.cancel()
    assert len(planner.committer.changes) == plans


@pytest.mark.parametrize(
    ('before', 'members', 'seconds', 'plans'),
    [
        (MEMBERS, MEMBERS[:2], 0.8, 0),
        (MEMBERS, MEMBERS[:2], 3.5, 1),
        (MEMBERS[:2], MEMBERS, 0.8, 1),
    ],
)
async def test_who_joined_gets_a_part_soon(before, members, seconds, plans):
    clock = VirtualClock()
    planner = open_planner(clock, 0)
    await clock.advance(6)
    plan = plan_limits(describe(), before, {}, Plan())
    planner.learn(open_version(2, describe(), plan))
    planner.needed_at = None
    planner.learn(Membership(instances=members))
    planner.instance = rank_members(SUBJECT, members)[0].name
    job = asyncio.create_task(planner.run())
    await clock.advance(seconds)
    job.cancel()
    assert len(planner.committer.changes) == plans


class FakePeers(PeerPort):
    """Carry loans between admission tasks; a fault strikes each call."""

    def __init__(self, clock, fault):
        self.clock = clock
        self.fault = fault
        self.tasks = {}
        self.calls = 0

    async def ask(self, peer, message, *, timeout_s):
        self.calls += 1
        await self.clock.sleep(HOP_S)
        if self.fault == 'request lost':
            raise PeerAwayError(peer.name)
        answer = await self.tasks[peer.name].mailbox.ask(message)
        if self.fault == 'doubled':
            answer = await self.tasks[peer.name].mailbox.ask(message)
        await self.clock.sleep(HOP_S)
        if self.fault == 'answer lost':
            raise PeerAwayError(peer.name)
        return answer


class Rig:
    """Run two instances that hold half of a team's part each."""

    def __init__(self, fault):
        self.clock = VirtualClock()
        self.peers = FakePeers(self.clock, fault)
        self.jobs = []
        self.plan = plan_limits(describe(), MEMBERS[:2], {}, Plan())
        self.nodes = {one.name: self.open(one) for one in MEMBERS[:2]}
        self.peers.tasks = self.nodes

    def open(self, instance):
        task = AdmissionTask(
            clock=self.clock,
            freshness_s=FRESH_S,
            instance=instance.name,
            availability_zone=instance.availability_zone,
        )
        loans = LoanCaller(
            peers=self.peers, admission=task.mailbox, calls=task.calls
        )
        loans.mailbox.post(Membership(instances=MEMBERS))
        self.jobs += [asyncio.create_task(one.run()) for one in (task, loans)]
        part = Part(rate=0, burst=10)
        region = Part(rate=0, burst=100)
        by_limit = {'team/t': part, 'region/north': region}
        task.mailbox.post(open_version(1, describe(), self.plan))
        task.mailbox.post(Parts(by_limit=by_limit, version=1))
        task.mailbox.post(Proof(version=1, proven_at=0))
        return task

    def bucket(self, name, limit='team/t'):
        holdings = self.nodes[name].state.holdings
        return holdings.allowances[limit].bucket

    async def fill(self, level, region=100):
        await self.clock.advance(0.1)
        for name in self.nodes:
            self.bucket(name).level = level
            self.bucket(name, 'region/north').level = region

    def send(self, count, path='/status'):
        return [
            asyncio.create_task(
                self.nodes['a'].mailbox.ask(
                    Arrival(
                        request_id='r',
                        at=0,
                        method='GET',
                        path=path,
                        key=SECRET,
                    )
                )
            )
            for _ in range(count)
        ]


@pytest.mark.parametrize(
    ('fault', 'asked', 'admitted', 'left', 'calls'),
    [
        (None, 10, 10, 10, 0),
        (None, 12, 12, 8, 1),
        (None, 15, 15, 5, 1),
        (None, 20, 20, 0, 5),
        (None, 25, 20, 0, 5),
        ('doubled', 12, 12, 8, 1),
        ('request lost', 12, 10, 10, 1),
        ('answer lost', 12, 10, 8, 1),
    ],
)
async def test_loans(fault, asked, admitted, left, calls):
    rig = Rig(fault)
    await rig.fill(10)
    replies = rig.send(asked)
    await rig.clock.advance(0.5)
    passages = [reply.result() for reply in replies]
    for job in rig.jobs:
        job.cancel()
    codes = [one.refusal.code for one in passages if one.refusal]
    assert len(passages) - len(codes) == admitted
    assert set(codes) <= {'rate_exceeded'}
    assert all(one.refusal.not_run for one in passages if one.refusal)
    assert rig.bucket('b').level == left
    assert calls <= rig.peers.calls <= calls + 1


@pytest.mark.parametrize(
    ('event', 'codes'),
    [
        (None, {None}),
        ('stale', {'not_fresh'}),
        ('new version', {'not_fresh'}),
    ],
)
async def test_freshness_is_checked_after_the_loan(event, codes):
    rig = Rig(None)
    await rig.fill(10)
    rig.bucket('a').level = 0
    replies = rig.send(2)
    await rig.clock.advance(HOP_S / 2)
    if event == 'stale':
        rig.nodes['a'].state.freshness.proven_at = -9.0
    if event == 'new version':
        rig.nodes['a'].mailbox.post(open_version(2, describe(), rig.plan))
    await rig.clock.advance(0.5)
    for job in rig.jobs:
        job.cancel()
    refusals = [reply.result().refusal for reply in replies]
    assert {one and one.code for one in refusals} == codes


@pytest.mark.parametrize(
    ('path', 'team', 'region', 'code', 'team_left'),
    [
        ('/status', 1, 1, None, 0),
        ('/open', 0, 1, None, 0),
        ('/open', 1, 0, 'region_full', 1),
        ('/status', 1, 0, 'region_full', 1),
        ('/status', 0, 1, 'rate_exceeded', 0),
    ],
)
async def test_all_limits_are_spent_or_none(
    path, team, region, code, team_left
):
    rig = Rig('request lost')
    await rig.fill(team, region)
    reply = rig.send(1, path)[0]
    await rig.clock.advance(0.5)
    for job in rig.jobs:
        job.cancel()
    refusal = reply.result().refusal
    assert (refusal and refusal.code) == code
    assert rig.bucket('a').level == team_left
