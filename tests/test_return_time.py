"""Many callers are refused at once and told when to return."""

import pytest

from currantspur.decisions.return_time import (
    MAX_RETURN_S,
    MIN_RETURN_S,
    plan_return_s,
)


@pytest.mark.parametrize(
    ('wait_s', 'earliest_s'),
    [
        (0.0, MIN_RETURN_S),
        (0.7, 0.7),
        (99.0, MAX_RETURN_S),
    ],
)
def test_callers_return_once_room_is_expected(wait_s, earliest_s):
    returns = [plan_return_s(wait_s, f'r-{number}') for number in range(400)]
    assert min(returns) >= earliest_s
    assert max(returns) <= 2 * earliest_s
    # No tenth of the time gets more than twice its part of the callers.
    for step in range(10):
        begin = earliest_s * (1 + step / 10)
        end = earliest_s * (1 + (step + 1) / 10)
        assert sum(begin <= each < end for each in returns) <= 80


def test_same_request_gets_same_return():
    assert plan_return_s(0.7, 'r-1') == plan_return_s(0.7, 'r-1')
