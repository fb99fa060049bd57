from collections import Counter

import pytest

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import PlacementRequest, Target, TargetLoad
from currantspur.pipelines.placement import (
    PlacementState,
    choose_target,
    list_eligible,
)
from tests.routes import make_route

SIX = ('n1', 'n1', 'n1', 'n1', 'n1', 'n1')
REGIONS = {'n1': 'n', 'n2': 'n', 's1': 's'}
ROUTE = make_route()


def make_state(*zones: str, at: float = 0.0, **more) -> PlacementState:
    state = PlacementState(
        Topology(availability_zone='n1', regions=REGIONS), shift_cap=0.15
    )
    # Something failed here: requests may leave the region.
    state.spillover.shift_limiter('s').record_fault(99.0)
    state.states_by_service = {
        's': [
            TargetState(
                Target(
                    name=f't{number}',
                    service='s',
                    address=f'10.0.0.1:{number}',
                    availability_zone=zone,
                    slots=3,
                    **more,
                ),
                at,
            )
            for number, zone in enumerate(zones)
        ]
    }
    return state


def find_key(first: str, others=('t1', 't2', 't3')) -> str:
    """Return an object for which a target comes before others."""
    return next(
        key
        for key in map(str, range(1000))
        if all(
            rendezvous_weight(key, first) > rendezvous_weight(key, other)
            for other in others
        )
    )


def ask(**more) -> PlacementRequest:
    return PlacementRequest(
        **{
            'request_id': 'x',
            'route': ROUTE,
            'service': 's',
            'deadline': 9.0,
            'object_key': '17',
            **more,
        }
    )


@pytest.mark.parametrize(
    ('zones', 'more', 'evacuated', 'named'),
    [
        (('n1', 's1'), {}, (), ['t0', 't1']),
        (('n1', 's1'), {'service': 'none'}, (), []),
        (('n1', 's1'), {'excluded_targets': frozenset(('t0',))}, (), ['t1']),
        (('n1', 's1'), {'home_regions': frozenset(('s',))}, (), ['t1']),
        (('n1', 's1'), {'home_regions': frozenset(('',))}, (), []),
        (('n1', 'n2'), {}, ('n1',), ['t1']),
        (('n1',), {}, ('n1',), []),
    ],
)
def test_who_may_run_it(zones, more, evacuated, named):
    state = make_state(*zones)
    state.evacuated_zones = frozenset(evacuated)
    found = [one.target.name for one in list_eligible(ask(**more), state)]
    assert found == named


def test_leaving_targets_get_nothing():
    assert choose_target(ask(), make_state('n1', is_draining=True), 1.0) is None


def make_busy(state: TargetState, own: int, others: int, at: float) -> None:
    state.own_in_flight = own
    state.update_load(TargetLoad(running=3, queued=others, slots=3), at)


@pytest.mark.parametrize(
    ('zones', 'busy', 'warm', 'chosen'),
    [
        # The own zone first, then the region, then elsewhere.
        (('n1', 'n2', 's1'), {}, None, 't0'),
        (('n2', 's1'), {}, None, 't0'),
        # The first in order of the region probably knows the object.
        (('n1', 'n2'), {}, (), 't0'),
        (('n1', 's1'), {}, (), 't0'),
        # One that surely does is worth a way.
        (('n1', 'n1', 'n1', 'n2'), {0: 6}, (3,), 't3'),
        # A queue counts; the first in order elsewhere is the better then.
        (('n1', 'n1'), {0: 9}, (0, 1), 't1'),
        (('n1', 's1'), {0: 11}, (0,), 't1'),
    ],
)
def test_the_cheapest_is_chosen(zones, busy, warm, chosen):
    state = make_state(*zones)
    states = state.states_by_service['s']
    object_key = None if warm is None else find_key('t0')
    for number in warm or ():
        states[number].record_success(1.0, object_key)
    for number, own in busy.items():
        states[number].own_in_flight = own
    request = ask(object_key=object_key)
    assert choose_target(request, state, 1.0).state.target.name == chosen


@pytest.mark.parametrize(
    ('zone', 'has_joined', 'own', 'given_s', 'is_chosen'),
    [
        ('n1', True, 0, None, True),
        ('n2', True, 0, None, True),
        # Not across regions, not while it is busy, not too often.
        ('s1', True, 0, None, False),
        ('n1', True, 3, None, False),
        ('n1', True, 0, 0.5, False),
        ('n1', True, 0, 2.0, True),
        # Where all began together, objects stay with the first in order.
        ('n1', False, 0, None, False),
    ],
)
def test_a_target_that_joined_is_taught(
    zone, has_joined, own, given_s, is_chosen
):
    state = make_state('n1', zone)
    known, joined = state.states_by_service['s']
    object_key = find_key('t0', ('t1',))
    request = ask(object_key=object_key)
    known.record_success(0.5, object_key)
    joined.has_joined = has_joined
    joined.own_in_flight = own
    if given_s is not None:
        joined.warmup_at = 1.0 - given_s
    assert (choose_target(request, state, 1.0).state is joined) is is_chosen
    joined.record_success(1.0, 'another')
    assert choose_target(request, state, 9.0).state is known


@pytest.mark.parametrize(
    ('own', 'knows_it', 'is_chosen'),
    [(0, False, False), (12, False, True), (0, True, True)],
)
def test_objects_stay_when_a_target_joins(own, knows_it, is_chosen):
    state = make_state('n1', 'n1')
    known, joined = state.states_by_service['s']
    object_key = find_key('t1', ('t0',))
    known.record_success(0.5, object_key)
    known.own_in_flight = own
    joined.has_joined = True
    joined.record_success(0.5, object_key if knows_it else 'another')
    chosen = choose_target(ask(object_key=object_key), state, 1.0).state
    assert (chosen is joined) is is_chosen


@pytest.mark.parametrize(
    ('zones', 'is_far'),
    [(('n1', 's1'), False), (('s1',), True)],
)
def test_a_calm_region_is_left_slowly(zones, is_far):
    state = make_state(*zones)
    state.spillover.shift_limiter('s').fault_until = 0.0
    states = state.states_by_service['s']
    states[0].own_in_flight = 0 if is_far else 11
    states[-1].record_success(0.5, '17')
    chosen = choose_target(ask(), state, 1.0).state
    assert (chosen.target.availability_zone == 's1') is is_far


def test_full_targets_get_nothing():
    state = make_state('n1')
    state.states_by_service['s'][0].own_in_flight = 12
    assert choose_target(ask(), state, 1.0) is None


def test_instances_agree_on_who_knows_an_object():
    first, second = make_state(*SIX), make_state(*SIX)
    chosen = Counter()
    for key in map(str, range(60)):
        request = ask(object_key=key)
        ours = choose_target(request, first, 1.0).state.target.name
        assert ours == choose_target(request, second, 1.0).state.target.name
        chosen[ours] += 1
    assert len(chosen) == 6
    assert max(chosen.values()) <= 20


COLD_PER_S, OVERSHOOT, SLACK = 5.5, 1.5, 5.0


@pytest.mark.parametrize('size', [1, 3, 8, 77])
def test_a_cold_target_is_paced_by_all_together(size):
    sent = []
    for number in range(size):
        state = make_state('n1', cold_remaining_s=3.0)
        state.instance = f'entry-{number}'
        state.cold_rates = {'s': COLD_PER_S}
        state.fleet_size = size
        target = state.states_by_service['s'][0]
        for step in range(58):
            at = step / 20
            if choose_target(ask(), state, at) is not None:
                target.cold_bucket.try_consume(at)
                sent.append(at)
        assert choose_target(ask(), state, 3.5) is not None
    assert sent
    for begin in range(3):
        within = [at for at in sent if begin <= at < begin + 1]
        assert len(within) <= COLD_PER_S * OVERSHOOT + SLACK


@pytest.mark.parametrize(
    ('hurt', 'chosen'),
    [
        (lambda one: one.record_failure(1.0), 't1'),
        (lambda one: [one.record_failure(1.0) for _ in range(9)], 't1'),
        (lambda one: one.record_latency_ratio(9.0, 1.0), 't1'),
        (lambda one: one.record_rejection(1.0), 't1'),
        (lambda one: None, 't0'),
    ],
)
def test_trouble_is_avoided_and_forgiven(hurt, chosen):
    state = make_state('n1', 'n1')
    for one in state.states_by_service['s']:
        one.record_success(0.5, '17')
    first = choose_target(ask(), state, 1.0).state
    hurt(first)
    after = choose_target(ask(), state, 1.0).state
    assert (after is first) is (chosen == 't0')
    assert choose_target(ask(), state, 60.0).state is first


@pytest.mark.parametrize(('born_ms', 'is_cold'), [(1, False), (2, True)])
def test_a_restarted_target_is_cold(born_ms, is_cold):
    state = make_state('n1', started_at_unix_ms=1, cold_remaining_s=3.0)
    target = state.states_by_service['s'][0]
    again = Target(
        name='t0',
        service='s',
        address='10.0.0.1:0',
        availability_zone='n1',
        slots=3,
        started_at_unix_ms=born_ms,
        cold_remaining_s=3.0,
    )
    target.update_target(again, 50.0)
    assert target.is_cold(51.0) is is_cold


@pytest.mark.parametrize(('born_ms', 'is_warm'), [(1, True), (2, False)])
def test_a_restarted_target_knows_nothing(born_ms, is_warm):
    state = make_state('n1', started_at_unix_ms=1)
    target = state.states_by_service['s'][0]
    target.record_success(0.0, '17')
    again = Target(
        name='t0',
        service='s',
        address='10.0.0.1:0',
        availability_zone='n1',
        slots=3,
        started_at_unix_ms=born_ms,
    )
    target.update_target(again, 1.0)
    assert choose_target(ask(), state, 1.0).is_warm is is_warm
