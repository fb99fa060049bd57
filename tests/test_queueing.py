from itertools import cycle

import pytest

from bench.queues import Crowd, Service, Simulation, quantile
from currantspur.decisions.ejection import Ejector
from currantspur.decisions.latency_queue import LatencyQueue, choose_policy
from currantspur.decisions.queueing import ArrivalQueue, FairQueue, Pace, Waiter
from currantspur.decisions.retries import RetryBudget, may_send_again

PACE = Pace(slots=3, seconds=0.1)
RATES = {'large': 60.0, 'middle': 30.0, 'small': 4.0, 'tiny': 2.0}
SERVICE = Service(slots=12, seconds=0.1, deadline_s=1.0)


def fill(queue, teams, *, weights=None, deadline=10.0, pace=PACE):
    shed = []
    for index, team in enumerate(teams):
        waiter = Waiter(team=team, since=0, deadline=deadline, ticket=index)
        weight = (weights or {}).get(team, 1)
        shed.extend(queue.offer(waiter, weight=weight, pace=pace))
    return ''.join(waiter.team for waiter in shed)


def drain(queue):
    order = ''
    while waiter := queue.pop():
        order += waiter.team
    return order


@pytest.mark.parametrize(
    ('policy', 'arrivals', 'weights', 'limit', 'shed', 'order'),
    [
        (ArrivalQueue, 'aaabbc', {}, 9, '', 'aaabbc'),
        (ArrivalQueue, 'aaabbc', {}, 3, 'bbc', 'aaa'),
        (FairQueue, 'aaabbc', {}, 9, '', 'aaabbc'),
        (FairQueue, 'aaaaabc', {}, 9, '', 'aaabcaa'),
        (FairQueue, 'aaaaabbbbb', {'a': 2}, 99, '', 'aaaaabbbbb'),
        (FairQueue, 'aaaaabbbbba', {'b': 2}, 99, '', 'aaabbbbbaaa'),
        (FairQueue, 'aaabbc', {}, 3, 'aab', 'abc'),
        (FairQueue, 'aaaabbc', {}, 4, 'aaa', 'abbc'),
        (FairQueue, 'aaaa', {}, 3, 'a', 'aaa'),
        (LatencyQueue, 'aaabbc', {}, 9, '', 'aaabbc'),
        (LatencyQueue, 'aaaaaaaabc', {}, 99, 'aaa', 'aaabcaa'),
    ],
)
def test_order_and_shedding(policy, arrivals, weights, limit, shed, order):
    queue = policy(limit=limit)
    assert fill(queue, arrivals, weights=weights) == shed
    assert drain(queue) == order
    assert queue.size == 0


@pytest.mark.parametrize(
    ('objective', 'deadline', 'seconds', 'shed'),
    [
        ('fairness', 0.05, 0.1, ''),
        ('latency', 0.05, 0.1, 'a'),
        ('latency', 0.5, 0.1, ''),
        ('latency', 5.0, 2.0, 'a'),
        ('fairness', 5.0, 2.0, ''),
    ],
)
def test_objectives_shed_differently(objective, deadline, seconds, shed):
    queue = choose_policy(objective)
    pace = Pace(slots=3, seconds=seconds)
    assert fill(queue, 'a', deadline=deadline, pace=pace) == shed


@pytest.mark.parametrize('policy', [ArrivalQueue, FairQueue, LatencyQueue])
def test_dropped_and_expired_requests_leave(policy):
    queue = policy()
    waiters = [
        Waiter(team=team, since=0, deadline=deadline)
        for team, deadline in (('a', 3), ('b', 1), ('a', 2), ('b', 4))
    ]
    for waiter in waiters:
        assert queue.offer(waiter, weight=1, pace=PACE) == []
    assert queue.next_deadline() == 1
    queue.drop(waiters[0])
    queue.drop(waiters[0])
    assert list(queue.expire(2)) == [waiters[1], waiters[2]]
    assert queue.next_deadline() == 4
    assert queue.pop() is waiters[3]
    assert (queue.pop(), queue.size, queue.next_deadline()) == (None, 0, None)


@pytest.mark.parametrize('policy', [ArrivalQueue, FairQueue, LatencyQueue])
def test_abandoned_requests_do_not_pile_up(policy):
    queue = policy(limit=10)
    for index, team in zip(range(2_000), cycle('ab'), strict=False):
        waiter = Waiter(team=team, since=0, deadline=index)
        queue.offer(waiter, weight=1, pace=PACE)
        queue.drop(waiter)
    assert queue.size == 0
    assert len(queue.by_deadline) <= 50


@pytest.mark.parametrize('policy', [FairQueue, LatencyQueue])
@pytest.mark.parametrize('flooder', ['large', 'small'])
@pytest.mark.parametrize('seed', [1, 2])
def test_a_flood_harms_nobody_else(policy, flooder, seed):
    crowd = Crowd(rates=RATES, flooder=flooder, excess=5)
    outcome = {}
    for kind in (ArrivalQueue, policy):
        simulation = Simulation(policy=kind(), crowd=crowd, service=SERVICE)
        tallies = simulation.run(seed=seed, seconds=30)
        outcome[kind] = [
            tally for team, tally in tallies.items() if team != flooder
        ]
    refused = {
        kind: sum(tally.refused for tally in tallies)
        for kind, tallies in outcome.items()
    }
    waits = {
        kind: max(quantile(tally.waits, 0.99) for tally in tallies)
        for kind, tallies in outcome.items()
    }
    # What is left came faster than a team's rate and burst allow.
    assert refused[policy] * 50 <= refused[ArrivalQueue]
    assert waits[policy] <= waits[ArrivalQueue]


@pytest.mark.parametrize(
    ('verdicts', 'at', 'share'),
    [
        ('fff', 0.0, 0.0),
        ('ffsff', 0.0, 1.0),
        ('ff', 0.0, 1.0),
        ('ffuf', 0.0, 0.0),
        ('uuuu', 0.0, 1.0),
        ('xxxx', 0.0, 1.0),
        ('fff', 0.99, 0.0),
        ('fff', 1.0, 0.2),
        ('fff', 3.5, 0.5),
        ('fff', 6.0, 1.0),
    ],
)
def test_ejection(verdicts, at, share):
    names = {'f': 'failed', 's': 'succeeded', 'u': 'unknown', 'x': 'shed'}
    ejector = Ejector()
    for verdict in verdicts:
        ejector.note('a', names[verdict], fellows=['a', 'b'], at=0)
    assert ejector.share('a', at) == pytest.approx(share)


def test_ejections_grow_and_never_take_all():
    ejector = Ejector()
    fellows = ['a', 'b', 'c', 'd']
    for target in fellows:
        for _ in range(5):
            ejector.note(target, 'failed', fellows=fellows, at=0)
    assert [ejector.is_ejected(one, 0.5) for one in fellows] == [
        True,
        True,
        False,
        False,
    ]
    assert ejector.note('a', 'failed', fellows=fellows, at=1)
    assert ejector.conducts['a'].returns_at == 3
    ejector.note('a', 'succeeded', fellows=fellows, at=8)
    assert ejector.share('a', 8) == 1


@pytest.mark.parametrize(
    ('idempotent', 'sent', 'replayable', 'left_s', 'allowed'),
    [
        (True, True, True, 1, True),
        (True, True, False, 1, False),
        (True, False, True, 0, False),
        (False, True, True, 1, False),
        (False, False, True, 1, True),
    ],
)
def test_when_sending_again_is_safe(
    idempotent, sent, replayable, left_s, allowed
):
    assert allowed is may_send_again(
        idempotent=idempotent, sent=sent, replayable=replayable, left_s=left_s
    )


@pytest.mark.parametrize(
    ('requests', 'retries'), [(0, 10), (100, 20), (100_000, 100)]
)
def test_retries_are_a_fraction_of_the_traffic(requests, retries):
    budget = RetryBudget()
    for _ in range(requests):
        budget.earn()
    allowed = sum(budget.spend() for _ in range(1_000))
    assert allowed == pytest.approx(retries, abs=1)
