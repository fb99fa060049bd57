"""Targets that look idle because they reject everything at once."""

import pytest

from currantspur.decisions.rejections import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    RejectionStreak,
)
from currantspur.pipelines import choose_target
from currantspur.pipelines.placement import expect_room_s
from tests.test_overload import make_request
from tests.test_placement import make_state


@pytest.mark.parametrize(
    ('rejected_at', 'pause_s'),
    [
        ([0.0], 0.0),
        ([0.0, 0.0], FIRST_PAUSE_S),
        # Rejections of requests that were sent before do not count.
        ([0.0, 0.0, 0.1, 0.2], FIRST_PAUSE_S - 0.2),
        # Each rejection after a pause doubles the next one.
        ([0.0, 0.0, 1.0], 2 * FIRST_PAUSE_S),
        ([0.0, 0.0, 1.0, 3.0], 4 * FIRST_PAUSE_S),
        ([0.0, 0.0, 1.0, 3.0, 9.0, 20.0, 40.0], MAX_PAUSE_S),
    ],
)
def test_pauses_grow_while_target_rejects(rejected_at, pause_s):
    streak = RejectionStreak()
    for at in rejected_at:
        streak.record(at)
    left_s = streak.pause_left_s(rejected_at[-1])
    assert left_s == pytest.approx(pause_s)
    streak.reset()
    streak.record(99.0)
    assert not streak.pause_left_s(99.0)


@pytest.mark.parametrize(
    ('rejecting', 'is_sent'), [(0, True), (1, True), (2, True), (3, False)]
)
def test_rejecting_targets_are_left_out(rejecting, is_sent):
    state = make_state('n1', 'n1', 'n1')
    paused = state.states_by_service['s'][:rejecting]
    for each in paused:
        each.record_rejection(1.0)
        each.record_rejection(1.0)
    request = make_request(remaining_s=2.0)
    chosen = choose_target(request, state, 1.0)
    assert (chosen is not None) is is_sent
    assert chosen is None or chosen.state not in paused
    # After the pause all are tried again.
    assert choose_target(request, state, 1.0 + FIRST_PAUSE_S) is not None


def test_room_is_expected_after_the_pause():
    state = make_state('n1')
    rejecting = state.states_by_service['s'][0]
    rejecting.rejections.record(1.0, rejections=2)
    room_s = expect_room_s(make_request(remaining_s=2.0), state, 1.0)
    assert room_s == pytest.approx(FIRST_PAUSE_S)
