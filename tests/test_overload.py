"""Queues at targets that are longer than the time of the requests."""

import pytest

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.messages import PlacementRequest
from currantspur.pipelines import choose_target
from currantspur.pipelines.placement import expect_room_s
from tests.routes import make_route
from tests.test_placement import make_state

# Cold work is expected to take 1.2 s, warm work 0.36 s.
ROUTE = make_route(latency_goal_s=1.0, timeout_s=2.0)


def make_request(*, remaining_s, tried=()):
    return PlacementRequest(
        request_id='x',
        route=ROUTE,
        service='s',
        deadline=1.0 + remaining_s,
        object_key='17',
        excluded_targets=frozenset(tried),
    )


def make_busy_state(*others_in_flight):
    state = make_state(*('n1' for _ in others_in_flight))
    for each, count in zip(
        state.states_by_service['s'], others_in_flight, strict=True
    ):
        each.others_in_flight = count
        each.others_in_flight_at = 1.0
    return state


def list_by_rank(state):
    states = state.states_by_service['s']
    return sorted(
        (each.target.name for each in states),
        key=lambda name: rendezvous_weight('17', name),
        reverse=True,
    )


@pytest.mark.parametrize(
    ('others_in_flight', 'remaining_s', 'is_sent'),
    [
        # A free slot is tried, whatever the estimate says.
        (0, 0.1, True),
        (2, 0.1, True),
        # Two rounds of the queue come first: 2 * 1.2 s + 0.36 s.
        (8, 2.0, False),
        (8, 3.0, True),
        # Full, however long the caller waits.
        (12, 99.0, False),
    ],
)
def test_request_out_of_time_is_not_sent(
    others_in_flight, remaining_s, is_sent
):
    state = make_busy_state(others_in_flight)
    chosen = choose_target(make_request(remaining_s=remaining_s), state, 1.0)
    assert (chosen is not None) is is_sent


@pytest.mark.parametrize(
    ('remaining_s', 'is_sent'), [(0.5, False), (1.0, False), (1.5, True)]
)
def test_repeat_needs_time_for_a_cold_target(remaining_s, is_sent):
    state = make_busy_state(0, 0)
    first = list_by_rank(state)[0]
    request = make_request(remaining_s=remaining_s, tried=(first,))
    assert (choose_target(request, state, 1.0) is not None) is is_sent


@pytest.mark.parametrize('remaining_s', [0.5, 1.5])
def test_repeat_uses_target_known_to_be_warm(remaining_s):
    state = make_busy_state(0, 0)
    first, second = list_by_rank(state)
    for each in state.states_by_service['s']:
        if each.target.name == second:
            each.record_success(1.0, '17')
    request = make_request(remaining_s=remaining_s, tried=(first,))
    assert choose_target(request, state, 1.0).state.target.name == second


@pytest.mark.parametrize(
    ('others_in_flight', 'room_s'),
    [
        ((), None),
        ((0,), pytest.approx(0.0)),
        ((2,), pytest.approx(0.0)),
        ((5,), pytest.approx(1.2)),
        ((12, 8), pytest.approx(2.4)),
    ],
)
def test_room_is_expected_after_shortest_queue(others_in_flight, room_s):
    state = make_busy_state(*others_in_flight)
    found = expect_room_s(make_request(remaining_s=2.0), state, 1.0)
    assert found == room_s
