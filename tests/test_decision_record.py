from contextlib import AsyncExitStack
from functools import partial

import pytest
from aiohttp import web

from currantspur.decisions.explanation import explain, select
from currantspur.errors import PlatformAwayError, TargetError
from currantspur.messages import (
    Decision,
    Evidence,
    ExchangeEnd,
    Head,
    InForce,
    Instance,
    Membership,
    Question,
)
from currantspur.platform.decisions import decode_decisions
from currantspur.standins.fleet import Fleet
from currantspur.standins.health import HealthStandin
from currantspur.standins.store import MemoryObjectStore
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    WORKLOADS,
    describe_workload,
    list_zones,
)
from currantspur.tasks import (
    HealthTask,
    Journal,
    Letter,
    Mailbox,
    SteeringTask,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.decisions import BACKLOG, DecisionWriter
from currantspur.wire.health import HttpHealth, decode_report


class ManualClock(Clock):
    def __init__(self):
        self.at = 100.0

    def now(self):
        return self.at

    def unix(self):
        self.at += 0.001
        return self.at

    async def sleep(self, seconds):
        self.at += seconds


class AwayStore(MemoryObjectStore):
    is_away = False

    async def put(self, name, body):
        if self.is_away:
            raise PlatformAwayError('away')
        await super().put(name, body)


def decision_of(index=0, **others):
    shown = {'at_s': float(index), 'subject': 'north-1, south-1'} | others
    return Decision(
        instance='e1',
        kind='shift',
        action='moves callers',
        reason='drain d1',
        evidence=(Evidence(name='north-1', reading='40/s', age_s=2.5),),
        rejected=('all at once: over the cap',),
        version=7,
        author='ana',
        **shown,
    )


@pytest.mark.parametrize(
    ('question', 'found'),
    [
        ({}, True),
        ({'subject': 'south-1'}, True),
        ({'subject': 'south'}, False),
        ({'subject': 'north-1, south-1'}, True),
        ({'team': 'team-1'}, True),
        ({'team': 'team-2'}, False),
        ({'request_id': 'r1'}, False),
        ({'since_s': 5.0, 'until_s': 5.0}, True),
        ({'since_s': 6.0}, False),
        ({'until_s': 4.0}, False),
    ],
)
def test_select(question, found):
    decision = decision_of(5, team='team-1')
    matched = list(select([decision], Question(**question)))
    assert bool(matched) is found


def test_explain():
    assert list(explain(decision_of(0, request_id='r1'))) == [
        '1970-01-01 00:00:00Z (e1)',
        '  north-1, south-1: moves callers',
        '  because drain d1',
        '  seen: north-1 40/s, 2.5 s old',
        '  not done: all at once: over the cap',
        '  rules: version 7 by ana',
        '  request: r1',
    ]


@pytest.mark.parametrize(
    ('count', 'dropped'), [(3, 0), (1200, 0), (BACKLOG + 10, 10)]
)
async def test_writer_survives_outage(count, dropped):
    store = AwayStore()
    writer = DecisionWriter(store=store, clock=ManualClock(), instance='e1')
    journal = Journal(writer=writer.mailbox)
    store.is_away = True
    for index in range(count):
        journal.mailbox.post(decision_of(index))
    journal.receive(journal.mailbox.drain())
    writer.receive(writer.mailbox.drain())
    await writer.flush()
    assert not store.bodies
    store.is_away = False
    await writer.flush()
    read = [
        one for body in store.bodies.values() for one in decode_decisions(body)
    ]
    assert read == [decision_of(index) for index in range(dropped, count)]
    assert writer.dropped == dropped


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{}', b'{"target": "a", "sequence": "1"}', b'\xff' * 9],
)
def test_bad_report(body):
    with pytest.raises(TargetError):
        decode_report(body)


@pytest.mark.parametrize(
    ('state', 'fault', 'ends', 'verdict'),
    [
        ('serving', None, (), 'healthy'),
        ('shedding', None, (), 'unhealthy'),
        ('draining', None, (), 'draining'),
        ('shedding', 'lying', (), 'healthy'),
        ('shedding', 'lying', (False,) * 5, 'unhealthy'),
        ('serving', 'missing', (), 'unknown'),
    ],
)
async def test_health_over_http(aiohttp_address, state, fault, ends, verdict):
    names = ('status-1', 'status-7', 'wording-1', 'wording-7')
    addresses = {}
    standins = [HealthStandin(name=name) for name in names]
    for standin in standins:
        addresses[standin.name] = await aiohttp_address(standin)
    standins[0].state = state
    standins[0].fault = fault
    pool = Mailbox()
    clock = ManualClock()
    task = HealthTask(
        port=HttpHealth(),
        clock=clock,
        availability_zone='north-1',
        instance='e1',
        pool=pool,
        journal=Mailbox(),
    )
    head = Head(version=1, sections={}, author='ana', change_id='c')
    configuration = describe_workload(ETIQUETA_CLARA, addresses)
    task.mailbox.post(InForce(head=head, configuration=configuration))
    for succeeded in ends:
        task.mailbox.post(ExchangeEnd(target='status-1', succeeded=succeeded))
    task.receive(task.mailbox.drain())
    await task.poll()
    await task.port.close()
    verdicts = pool.drain()[-1].message.by_target
    assert verdicts['status-1'].state == verdict
    assert verdicts['wording-1'].state == 'healthy'
    recorded = [one.message.subject for one in task.journal.drain()]
    assert ('status-1' in recorded) == (verdict != 'unknown')


async def serve(fleet, standin):
    application = web.Application()
    standin.add_routes(application)
    return await fleet.serve(application)


@pytest.fixture
async def aiohttp_address():
    async with AsyncExitStack() as stack:
        yield partial(serve, Fleet(stack))


@pytest.mark.parametrize(
    ('lost', 'moves', 'weight', 'seen'),
    [
        (0, False, 1.0, ''),
        (1, True, 0.9, 'callers are assumed to want 60/s'),
    ],
)
def test_steering_task_records_its_steps(lost, moves, weight, seen):
    clock = ManualClock()
    task = SteeringTask(
        clock=clock, journal=Mailbox(), instance='e1', freshness_s=1.5
    )
    head = Head(version=7, sections={}, author='ana', change_id='c')
    configuration = describe_workload(WORKLOADS['zaytouna'], {})
    members = tuple(
        Instance(name=zone, address='', peer='', availability_zone=zone)
        for zone in list_zones()
    )
    learnt = (
        InForce(head=head, configuration=configuration),
        Membership(instances=members),
    )
    for message in learnt:
        task.receive([Letter(message)])
    clock.at += 60
    task.receive([Letter(Membership(instances=members[lost:]))])
    recorded = [one.message for one in task.journal.drain()]
    assert bool(recorded) is moves
    for one in recorded:
        assert (one.instance, one.version, one.author) == ('e1', 7, 'ana')
        assert seen in one.evidence[0].reading
    answer = task.table.answer(bytes((10, 1, 0, 1)))
    weights = {entry.instance: entry.weight for entry in answer.entries}
    assert weights['north-1'] == pytest.approx(weight)
