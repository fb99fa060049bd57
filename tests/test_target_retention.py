import pytest

from currantspur.decisions.target_retention import (
    REREGISTER_WINDOW_S,
    TargetRetention,
)
from currantspur.messages import Target, TargetsUpdate


def make_target(name: str, port: int = 1, **more) -> Target:
    return Target(
        name=name,
        service='s',
        address=f'10.0.0.1:{port}',
        availability_zone='z',
        slots=3,
        **more,
    )


NEVER = float('-inf')


def see(names, at, ended_at=NEVER) -> TargetsUpdate:
    ports = {'a': 1, 'b': 2, 'c': 2}
    return TargetsUpdate(
        targets_by_name={
            name: make_target(name, ports[name]) for name in names
        },
        revision=1,
        read_at=at,
        outage_ended_at=ended_at,
    )


@pytest.mark.parametrize(
    ('lists', 'at', 'left'),
    [
        # Without an outage, what is not listed is gone.
        ([see('ab', 0), see('a', 1)], 1, 'a'),
        # Just after one, it may come back.
        ([see('ab', 0), see('a', 5, 5)], 5, 'ab'),
        ([see('ab', 0), see('a', 5, 5)], 5 + REREGISTER_WINDOW_S, 'ab'),
        ([see('ab', 0), see('a', 5, 5)], 5.1 + REREGISTER_WINDOW_S, 'a'),
        ([see('ab', 0), see('a', 5, 5), see('ab', 6, 5)], 9, 'ab'),
        # Later than that it is gone at once.
        ([see('ab', 0), see('a', 8, 5)], 8, 'a'),
        # Another target has the address.
        ([see('ab', 0), see('ac', 5, 5)], 5, 'ac'),
    ],
)
def test_lapsed_entries(lists, at, left):
    retention = TargetRetention()
    for seen in lists:
        retention.update(seen)
    assert ''.join(sorted(retention.current(at))) == left


def test_a_leaving_target_does_not_come_back():
    retention = TargetRetention()
    target = make_target('a', is_draining=True)
    retention.update(
        TargetsUpdate(targets_by_name={'a': target}, revision=1, read_at=0)
    )
    retention.update(
        TargetsUpdate(
            targets_by_name={}, revision=2, read_at=5, outage_ended_at=5
        )
    )
    assert not retention.current(5)
