import asyncio

import pytest

from currantspur.messages import (
    Assignment,
    Configuration,
    Expiry,
    Head,
    InForce,
    Part,
    Parts,
    SlotRelease,
    SlotRequest,
    Steering,
    Target,
    Team,
)
from currantspur.messages.health import HealthVerdict, HealthVerdicts
from currantspur.tasks import Clock, Journal, Letter, TargetPool


class HandClock(Clock):
    __slots__ = ('at',)

    def __init__(self):
        self.at = 100.0

    def now(self):
        return self.at

    def unix(self):
        return self.at

    async def sleep(self, seconds):
        await asyncio.sleep(0)


class Rig:
    def __init__(self, *, targets=1, slots=1, objective='fairness', zones='aa'):
        self.clock = HandClock()
        self.journal = Journal()
        self.pool = TargetPool(
            clock=self.clock,
            availability_zone='a',
            journal=self.journal.mailbox,
        )
        configuration = Configuration(
            teams=(Team(name='t', rate=10, burst=10),),
            targets=tuple(
                Target(
                    name=f'target-{one}',
                    service='s',
                    address='127.0.0.1:1',
                    availability_zone=zones[one % 2],
                    slots=slots,
                )
                for one in range(targets)
            ),
            steering=Steering(objective=objective),
        )
        head = Head(version=1, sections={}, author='a', change_id='c')
        self.tell(InForce(head=head, configuration=configuration))

    def tell(self, message):
        self.pool.receive([Letter(message)])

    def ask(self, *, deadline=1.0, attempt=0, without=()):
        reply = asyncio.get_running_loop().create_future()
        request = SlotRequest(
            request_id='r',
            service='s',
            team='t',
            deadline=self.clock.at + deadline,
            attempt=attempt,
            without=frozenset(without),
        )
        self.pool.receive([Letter(request, reply)])
        return reply

    def release(self, reply, verdict='succeeded'):
        self.tell(SlotRelease(assignment=reply.result(), verdict=verdict))


def describe(reply):
    if not reply.done():
        return 'waits'
    if reply.cancelled():
        return 'left'
    given = reply.result()
    return given.target.name if isinstance(given, Assignment) else given.code


async def test_waits_until_a_slot_or_the_deadline():
    rig = Rig()
    first, second, third = rig.ask(), rig.ask(deadline=0.2), rig.ask()
    assert [describe(one) for one in (first, second, third)] == [
        'target-0',
        'waits',
        'waits',
    ]
    rig.clock.at += 0.2
    rig.tell(Expiry())
    assert describe(second) == 'deadline_passed'
    rig.release(first)
    assert describe(third) == 'target-0'


async def test_expiry_comes_without_other_messages():
    rig = Rig()
    rig.ask()
    waiting = rig.ask(deadline=0.01)
    rig.clock.at += 0.02
    letters = await asyncio.wait_for(rig.pool.mailbox.take(), 5)
    rig.pool.receive(letters)
    assert describe(waiting) == 'deadline_passed'


@pytest.mark.parametrize('leaves', ['waiting', 'served'])
async def test_callers_that_leave_free_their_place(leaves):
    rig = Rig()
    first, second, third = rig.ask(), rig.ask(), rig.ask()
    second.cancel()
    await asyncio.sleep(0)
    assert rig.pool.queues['s'].size == 1
    rig.release(first)
    assert [describe(one) for one in (second, third)] == ['left', 'target-0']


@pytest.mark.parametrize(
    ('parts', 'given'),
    [
        (None, 3),
        ({'team/t': 9}, 3),
        ({'slots/target-0': 2}, 2),
        ({'slots/target-0': 0}, 0),
        ({'slots/target-1': 2}, 0),
        ({'slots/target-0': 1.9}, 1),
    ],
)
async def test_slots_are_those_of_the_plan(parts, given):
    rig = Rig(slots=3)
    if parts is not None:
        by_limit = {
            name: Part(rate=0, burst=burst) for name, burst in parts.items()
        }
        rig.tell(Parts(by_limit=by_limit))
    seen = [describe(rig.ask()) for _ in range(5)]
    assert seen.count('target-0') == given
    assert seen.count('waits') == 5 - given


@pytest.mark.parametrize(
    ('retries', 'without', 'given'),
    [
        (1, ['target-0'], 1),
        (1, ['target-0', 'target-1'], 0),
        (12, ['target-0'], 10),
    ],
)
async def test_retries_take_what_is_free_or_nothing(retries, without, given):
    rig = Rig(targets=2, slots=20)
    found = [
        describe(rig.ask(attempt=1, without=without)) for _ in range(retries)
    ]
    assert found.count('target-1') == given
    assert found.count('overloaded') == retries - given


@pytest.mark.parametrize(
    ('state', 'share', 'given'),
    [
        ('healthy', 1, 5),
        ('degraded', 0.6, 3),
        ('degraded', 0.01, 1),
        ('unhealthy', 0, 0),
        ('unknown', 0, 5),
    ],
)
async def test_reported_health_limits_slots(state, share, given):
    rig = Rig(slots=5)
    verdict = HealthVerdict(
        target='target-0',
        state=state,
        share=share,
        reason='reported',
        report_age_s=1,
    )
    rig.tell(HealthVerdicts(by_target={'target-0': verdict}))
    seen = [describe(rig.ask()) for _ in range(6)]
    assert seen.count('target-0') == given


async def test_own_zone_first_then_least_used():
    rig = Rig(targets=4, slots=1, zones='ab')
    assert [describe(rig.ask()) for _ in range(5)] == [
        'target-0',
        'target-2',
        'target-1',
        'target-3',
        'waits',
    ]


async def test_a_failing_target_is_left_out():
    rig = Rig(targets=2, slots=1)
    for _ in range(3):
        reply = rig.ask(without=['target-1'])
        rig.release(reply, 'failed')
    assert [describe(rig.ask()) for _ in range(2)] == ['target-1', 'waits']
    recorded = [letter.message for letter in rig.journal.mailbox.letters]
    assert [(one.kind, one.subject) for one in recorded] == [
        ('ejection', 'target target-0')
    ]
    rig.clock.at += 1.1
    rig.tell(Expiry())
    assert [describe(rig.ask()) for _ in range(2)] == ['target-0', 'waits']


@pytest.mark.parametrize(
    ('objective', 'waiting'), [('fairness', 12), ('latency', 5)]
)
async def test_objectives_differ_in_what_may_wait(objective, waiting):
    rig = Rig(objective=objective)
    seen = [describe(rig.ask(deadline=9)) for _ in range(13)]
    assert seen.count('waits') == waiting
    assert seen.count('overloaded') == 12 - waiting


@pytest.mark.parametrize(
    ('targets', 'attempt', 'found'),
    [(0, 0, 'overloaded'), (0, 1, 'overloaded'), (1, 0, 'target-0')],
)
async def test_no_target_is_refused_at_once(targets, attempt, found):
    rig = Rig(targets=targets)
    assert describe(rig.ask(attempt=attempt)) == found
