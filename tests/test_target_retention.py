import pytest

from currantspur.decisions.departed_targets import UNWRITTEN_ROW_S
from currantspur.decisions.target_retention import (
    REREGISTER_WINDOW_S,
    TargetRetention,
)
from currantspur.messages import Target, TargetsUpdate
from currantspur.messages.revisions import make_revision


def make_target(name: str, port: int = 1, **overrides) -> Target:
    return Target(
        name=name,
        service='s',
        address=f'10.0.0.1:{port}',
        availability_zone='z',
        slots=3,
        **overrides,
    )


NEVER = float('-inf')


def make_update(names, read_at, outage_ended_at=NEVER) -> TargetsUpdate:
    # Each letter names a target; b and c have the same address.
    ports = {'a': 1, 'b': 2, 'c': 2, 'd': 4, 'e': 5}
    return TargetsUpdate(
        targets_by_name={
            name: make_target(name, ports[name]) for name in names
        },
        revision=1,
        read_at=read_at,
        outage_ended_at=outage_ended_at,
    )


@pytest.mark.parametrize(
    ('updates', 'at', 'names'),
    [
        # Without an outage, a target that is not listed is removed.
        ([make_update('ab', 0), make_update('a', 1)], 1, 'a'),
        # Just after an outage it is retained, as it may register again.
        ([make_update('ab', 0), make_update('a', 5, 5)], 5, 'ab'),
        (
            [make_update('ab', 0), make_update('a', 5, 5)],
            5 + REREGISTER_WINDOW_S,
            'ab',
        ),
        (
            [make_update('ab', 0), make_update('a', 5, 5)],
            5.1 + REREGISTER_WINDOW_S,
            'a',
        ),
        (
            [
                make_update('ab', 0),
                make_update('a', 5, 5),
                make_update('ab', 6, 5),
            ],
            9,
            'ab',
        ),
        # Longer after the outage it is removed at once.
        ([make_update('ab', 0), make_update('a', 8, 5)], 8, 'a'),
        # A second outage does not prolong the window of the first.
        (
            [
                make_update('ab', 0),
                make_update('a', 5, 5),
                make_update('a', 7, 7),
            ],
            5.1 + REREGISTER_WINDOW_S,
            'a',
        ),
        # One of four is gone: it has left, rows did not expire.
        ([make_update('abde', 0), make_update('abd', 5, 5)], 5, 'abd'),
        # Rows expire one after the other; the first is retained late.
        (
            [
                make_update('abde', 0),
                make_update('abd', 5, 5),
                make_update('ab', 5.5, 5),
            ],
            6,
            'abde',
        ),
        # Another target is listed with the same address.
        ([make_update('ab', 0), make_update('ac', 5, 5)], 5, 'ac'),
    ],
)
def test_unlisted_target_is_retained_after_outage(updates, at, names):
    retention = TargetRetention()
    for update in updates:
        retention.update(update)
    assert ''.join(sorted(retention.current(at))) == names


def test_draining_target_is_not_retained():
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


def make_restored_update(names, read_at, *, era, draining=''):
    return TargetsUpdate(
        targets_by_name={
            name: make_target(name, ord(name), is_draining=name in draining)
            for name in names
        },
        revision=make_revision(era=era, version=1),
        read_at=read_at,
    )


# Guards against requests to targets that have left and that a restored copy of
# the store lists again, and against the loss of those that it does not list.
@pytest.mark.parametrize(
    ('updates', 'at', 'usable'),
    [
        # A target that drained stays so, for as long as it is listed.
        ([('abcd', 0, 0, 'd'), ('abcd', 9, 1, '')], 9.0, 'abc'),
        ([('abcd', 0, 0, 'd'), ('abcd', 9, 1, '')], 99.0, 'abc'),
        # A target that was removed counts once its row must be written again.
        (
            [('abcd', 0, 0, ''), ('abc', 5, 0, ''), ('abcd', 9, 1, '')],
            9.0 + UNWRITTEN_ROW_S,
            'abc',
        ),
        (
            [('abcd', 0, 0, ''), ('abc', 5, 0, ''), ('abcd', 9, 1, '')],
            9.1 + UNWRITTEN_ROW_S,
            'abcd',
        ),
        # It had come back before.
        (
            [
                ('abcd', 0, 0, ''),
                ('abc', 5, 0, ''),
                ('abcd', 6, 0, ''),
                ('abcd', 9, 1, ''),
            ],
            9.0,
            'abcd',
        ),
        # The same in the second copy in a row.
        (
            [
                ('abcd', 0, 0, 'd'),
                ('abcd', 9, 1, ''),
                ('abcd', 10, 2, ''),
            ],
            10.0,
            'abc',
        ),
        # A target that the copy lists leaves just after.
        (
            [('abcd', 0, 0, ''), ('abcd', 9, 1, ''), ('abc', 10, 1, '')],
            10.0,
            'abc',
        ),
        # A single target that the copy lacks may write its row again.
        ([('abcd', 0, 0, ''), ('abc', 9, 1, '')], 9.0, 'abcd'),
        (
            [('abcd', 0, 0, ''), ('abc', 9, 1, '')],
            9.1 + REREGISTER_WINDOW_S,
            'abc',
        ),
    ],
)
def test_restored_copy_takes_back_no_departure(updates, at, usable):
    retention = TargetRetention()
    for names, read_at, era, draining in updates:
        retention.update(
            make_restored_update(names, read_at, era=era, draining=draining)
        )
    current = retention.current(at)
    assert (
        ''.join(
            sorted(name for name in current if not current[name].is_draining)
        )
        == usable
    )


# Guards against requests to a target that left after a restart, while the copy
# to which the store returned lists the start before.
@pytest.mark.parametrize(
    ('row_start', 'is_drained', 'at', 'is_usable'),
    [
        (1, True, 9.0, False),
        (1, True, 9.0 + UNWRITTEN_ROW_S, False),
        (1, False, 9.0, False),
        # The row is written again: the clock of the machine was set back.
        (1, True, 9.1 + UNWRITTEN_ROW_S, True),
        (2, True, 9.1 + UNWRITTEN_ROW_S, False),
        (3, True, 9.0, True),
        (3, False, 9.0, True),
    ],
)
def test_copy_lists_another_start(row_start, is_drained, at, is_usable):
    known = make_target('a', started_at_unix_ms=2)
    left = make_target('a', started_at_unix_ms=2, is_draining=True)
    copied = make_target('a', started_at_unix_ms=row_start)
    retention = TargetRetention()
    for read_at, era, rows in (
        (0.0, 0, [known]),
        (5.0, 0, [left] if is_drained else []),
        (9.0, 1, [copied]),
    ):
        retention.update(
            TargetsUpdate(
                targets_by_name={row.name: row for row in rows},
                revision=make_revision(era=era, version=1),
                read_at=read_at,
            )
        )
    current = retention.current(at)
    assert ('a' in current and not current['a'].is_draining) is is_usable
