"""Targets that join a warm service and take their share object by object."""

import pytest

from currantspur.decisions.object_homes import (
    JOIN_DELAY_S,
    KEPT_OBJECTS,
    MAX_JOIN_S,
    MIN_JOIN_S,
    JoiningTime,
)
from currantspur.decisions.target_state import TargetState
from currantspur.messages import Target
from currantspur.pipelines.placement import choose_target, list_candidates
from tests.test_placement import make_request, make_state

OBJECTS = [str(number) for number in range(600)]
TARGETS = 5
ENDS_S = JOIN_DELAY_S + MIN_JOIN_S


def join(state, *, listed_at=0.0, names=('new',), **overrides):
    """Add joined targets to the service; they have been warmed up."""
    joined = [
        TargetState(
            Target(
                name=name,
                service='s',
                address='',
                availability_zone='n1',
                slots=3,
                **overrides,
            ),
            listed_at,
            has_joined=True,
        )
        for name in names
    ]
    for each in joined:
        each.record_success(listed_at, 'another')
    state.set_targets({'s': [*state.states_by_service['s'], *joined]})
    return state


def find_homes(state, at):
    """Return the targets that objects go to; none of them is busy."""
    homes = {}
    for object_key in OBJECTS:
        request = make_request(object_key=object_key, deadline=at + 9.0)
        chosen = choose_target(request, state, at)
        homes[object_key] = chosen.state.target.name
    return homes


def make_warm_state():
    state = make_state(*('n1' for _ in range(TARGETS)))
    for object_key, name in find_homes(state, 0.0).items():
        for each in state.states_by_service['s']:
            if each.target.name == name:
                each.record_success(0.0, object_key)
    return state


# Guards against a target whose share never follows, against all of its objects
# at once, and against objects that move elsewhere or back.
def test_joined_target_takes_share_in_steps():
    state = make_warm_state()
    before = find_homes(state, 0.0)
    join(state)
    taken = []
    for passed in (0, 0.25, 0.5, 0.75, 1):
        homes = find_homes(state, JOIN_DELAY_S + passed * MIN_JOIN_S)
        moved = {key for key in OBJECTS if homes[key] != before[key]}
        assert {homes[key] for key in moved} <= {'new'}
        assert not taken or taken[-1] <= moved
        taken.append(moved)
    # What it is due, by at most a fifth more.
    due = len(OBJECTS) / (TARGETS + 1)
    assert due / 1.2 <= len(taken[-1]) <= 1.2 * due
    shares = [len(moved) / len(taken[-1]) for moved in taken]
    assert shares == pytest.approx([0, 0.25, 0.5, 0.75, 1], abs=0.12)


# Guards against an order that differs for ever from that of an instance which
# started later and takes the target for an ordinary one.
def test_joined_target_becomes_ordinary():
    joined = find_homes(join(make_warm_state()), ENDS_S)
    later = make_warm_state()
    join(later)
    later.states_by_service['s'][-1].has_joined = False
    assert joined == find_homes(later, ENDS_S)


# Guards against two homes of an object while instances know of a target since
# different times: at most the part of its objects taken in between.
@pytest.mark.parametrize('skew_s', [0.1, 0.5, 2.5])
@pytest.mark.parametrize('passed_s', [1.0, 4.0, 8.0, 16.0])
def test_instances_agree_on_joining_target(skew_s, passed_s):
    at = JOIN_DELAY_S + passed_s
    first = find_homes(join(make_warm_state()), at)
    second = find_homes(join(make_warm_state(), listed_at=skew_s), at)
    differ = sum(first[key] != second[key] for key in OBJECTS)
    due = len(OBJECTS) / (TARGETS + 1)
    assert differ <= 1.2 * due * skew_s / MIN_JOIN_S + 5


# Guards against objects without an order when all targets were replaced.
def test_replaced_service_has_an_order():
    state = join(
        make_warm_state(), names=[f'new{number}' for number in range(TARGETS)]
    )
    states = state.states_by_service['s'][TARGETS:]
    state.set_targets({'s': states})
    for object_key in OBJECTS[:20]:
        request = make_request(object_key=object_key, deadline=99.0)
        ranked = list_candidates(states, request, state, ENDS_S)
        assert [each.rank for each in ranked] == list(range(TARGETS))


@pytest.mark.parametrize(
    ('cold_s', 'cold_per_s', 'begins_s', 'lasts_s'),
    [
        (0.0, 0.0, JOIN_DELAY_S, MIN_JOIN_S),
        (1.0, 50.0, JOIN_DELAY_S, MIN_JOIN_S),
        (5.0, 0.9, 5.0, KEPT_OBJECTS / 0.9),
        (0.0, 0.1, JOIN_DELAY_S, MAX_JOIN_S),
    ],
)
def test_joining_time_follows_cold_rate(cold_s, cold_per_s, begins_s, lasts_s):
    joining_time = JoiningTime(7.0, cold_s)
    joining_time.set_cold_rate(cold_per_s)
    begins_at = 7.0 + begins_s
    for object_key in (*OBJECTS, None):
        assert not joining_time.has_place('t', object_key, begins_at)
        assert joining_time.has_place('t', object_key, begins_at + lasts_s)
    assert not joining_time.is_over(begins_at + 0.99 * lasts_s)
    assert joining_time.is_over(begins_at + 1.01 * lasts_s)
