"""Targets that keep fewer objects warm than the instance could remember."""

from collections import OrderedDict
from random import Random

import pytest

from currantspur.decisions.target_state import TargetState
from currantspur.decisions.warm_objects import (
    MAX_WARM_OBJECTS,
    MIN_ADVANTAGE,
    MIN_WARM_OBJECTS,
    WarmCapacity,
    WarmObjects,
)
from currantspur.decisions.work_time import WorkTimeEstimator
from currantspur.messages import Assignment, TargetLoad, TargetRelease
from currantspur.pipelines.target_outcomes import record_outcome
from tests.routes import make_route
from tests.test_placement import make_request, make_state

OBJECTS = 60
COLD_S, WARM_S = 0.36, 0.1


class UnboundedCapacity(WarmCapacity):
    __slots__ = ()

    def record(self, age, *, was_warm):
        """Learn nothing."""


def use_target(kept, object_key, size):
    """Tell whether a target of this size had the object; keep it."""
    was_warm = object_key in kept
    kept[object_key] = None
    kept.move_to_end(object_key)
    if len(kept) > size:
        kept.popitem(last=False)
    return was_warm


def learn(size, *, misread=0, seen=1, requests=4000, capacity=None):
    """Return what is learned, and the share of right beliefs at the end."""
    random = Random(size)
    objects = WarmObjects()
    objects.capacity = capacity or objects.capacity
    kept = OrderedDict()
    right = []
    for _ in range(requests):
        object_key = str(int(OBJECTS * random.random() ** 1.5))
        was_warm = use_target(kept, object_key, size)
        if random.random() >= seen:
            continue
        right.append((object_key in objects) is was_warm)
        age = objects.find_age(object_key)
        if age is not None:
            is_misread = random.random() < misread
            objects.capacity.record(age, was_warm=was_warm is not is_misread)
        objects.add(object_key)
    half = right[len(right) // 2 :]
    return objects.capacity.limit, sum(half) / len(half)


# Guards against objects that are believed warm long after the target dropped
# them, and against a few misread responses that change what was learned.
@pytest.mark.parametrize('misread', [0, 0.1, 0.2])
@pytest.mark.parametrize('size', [8, 9, 14, 27, 40])
def test_kept_objects_are_learned(size, misread):
    limit, right = learn(size, misread=misread)
    assert abs(limit - size) <= 1
    assert 100 * right >= 99


# An instance of a large fleet sees only a part of the requests of a target.
@pytest.mark.parametrize('seen', [0.3, 0.1])
@pytest.mark.parametrize('size', [8, 9, 14, 27])
def test_part_of_requests_is_enough(size, seen):
    unbounded = UnboundedCapacity()
    requests = 12000
    _, before = learn(size, seen=seen, requests=requests, capacity=unbounded)
    limit, after = learn(size, seen=seen, requests=requests)
    assert MIN_WARM_OBJECTS <= limit < MAX_WARM_OBJECTS
    assert after > before


# Guards against a number that only ever becomes smaller.
@pytest.mark.parametrize(('before', 'after'), [(8, 27), (27, 8)])
def test_other_number_after_release_is_learned(before, after):
    capacity = WarmCapacity()
    learn(before, capacity=capacity)
    limit, _ = learn(after, capacity=capacity)
    assert abs(limit - after) <= 1


def test_least_recently_used_object_is_forgotten():
    objects = WarmObjects()
    objects.capacity.limit = MIN_WARM_OBJECTS
    for object_key in 'abcadeb':
        objects.add(object_key)
    assert [key for key in 'abcde' if key in objects] == list('abde')
    assert [objects.find_age(key) for key in 'bedacx'] == [0, 1, 2, 3, 4, None]
    for number in range(MAX_WARM_OBJECTS):
        objects.add(str(number))
    assert objects.find_age('b') is None
    assert objects.find_age('0') == MAX_WARM_OBJECTS - 1


# Guards against cold work that is always taken for warm: nothing would be
# learned of dropped objects from such a route.
@pytest.mark.parametrize('first_is_warm', [True, False])
@pytest.mark.parametrize(
    ('cold_s', 'goal_s'),
    [
        *((0.352, 0.31), (0.88, 0.607), (1.16, 0.819), (2.2, 3.007)),
        *((0.44, 0.432), (0.85, 0.815), (0.65, 0.612), (2.6, 2.014)),
    ],
)
def test_cold_and_warm_work_are_told_apart(cold_s, goal_s, first_is_warm):
    random = Random(1)
    times = WorkTimeEstimator(make_route(latency_goal_s=goal_s))
    for number in range(200):
        is_warm = first_is_warm is (number % 2 == 0)
        work_share = 0.3 if is_warm else 1
        work_s = cold_s * work_share * random.uniform(0.9, 1.1)
        assert times.looks_warm(work_s) is is_warm
        assert times.looks_cold(work_s) is not is_warm
        times.update(work_s, is_warm=times.looks_warm(work_s))
    assert times.cold_work_s == pytest.approx(cold_s, rel=0.1)
    assert times.warm_work_s == pytest.approx(0.3 * cold_s, rel=0.1)


def release(state, target_state, *, took_s, **options):
    """Record a response for the object '17'."""
    assignment = Assignment(
        request=make_request(),
        target=target_state.target,
        assigned_at=1.0,
        expected_s=took_s,
        is_warm=options.get('is_warm', True),
        had_free_slot=options.get('had_free_slot', True),
    )
    load = TargetLoad(
        running=1,
        queued=options.get('queued', 0),
        slots=3,
        pace=options.get('pace', 1.0),
    )
    ends_at = 1.0 + took_s + state.topology.round_trip_s('n1')
    target_state.update_load(load, ends_at)
    outcome = options.get('outcome', 'answered')
    message = TargetRelease(assignment=assignment, outcome=outcome, load=load)
    record_outcome(message, target_state, state, ends_at)


# Guards against learning from responses that were late for another reason than
# a dropped object: a queue, a busy machine, a failure, a first request.
@pytest.mark.parametrize(
    ('took_s', 'options', 'is_learned'),
    [
        (COLD_S, {}, True),
        (WARM_S, {}, False),
        (COLD_S, {'had_free_slot': False}, False),
        (COLD_S, {'queued': 2}, False),
        (COLD_S, {'pace': 3.0}, False),
        (4 * COLD_S, {}, False),
        (COLD_S, {'outcome': 'erred'}, False),
        # Warmed by another request that ended in the meantime.
        (COLD_S, {'is_warm': False}, False),
    ],
)
def test_only_cold_work_shows_a_dropped_object(took_s, options, is_learned):
    state = make_state('n1', 'n2')
    target_state, other = state.states_by_service['s']
    for number in range(int(MIN_ADVANTAGE)):
        target_state.record_success(1.0, '17')
        for used in range(8):
            target_state.record_success(1.0, f'{number} {used}')
        release(state, target_state, took_s=took_s, **options)
    limit = 8 if is_learned else MAX_WARM_OBJECTS
    assert state.warm_capacities['s'].limit == limit
    # The targets of a service are alike.
    assert other.warm_keys.capacity is target_state.warm_keys.capacity


def test_restarted_target_has_no_objects():
    target_state: TargetState = make_state('n1').states_by_service['s'][0]
    target_state.warm_keys.capacity.limit = MIN_WARM_OBJECTS
    for object_key in 'abcdef':
        target_state.record_success(1.0, object_key)
    target_state.warm_keys.clear()
    assert not target_state.warm_keys
    assert target_state.warm_keys.find_age('a') is None
