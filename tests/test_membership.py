import pytest

from currantspur.decisions.membership import Roster
from currantspur.messages import Instance


def one(name, state='live'):
    return Instance(
        name=name, address='', peer='', availability_zone='z', state=state
    )


LISTED = ('list', 0.0, 'abcd')
FAILED = (('fail', 1, 'd'), ('fail', 1, 'd'), ('fail', 1, 'd'))
ALL_FAILED = tuple(('fail', 1, 'abcd') for _ in FAILED)


@pytest.mark.parametrize(
    ('events', 'at', 'members'),
    [
        ([], 9, ''),
        ([LISTED], 9, 'abcd'),
        ([LISTED, ('list', 1, 'abc')], 9, 'abc'),
        ([('told', 0, 'ab')], 9, 'ab'),
        ([('told', 0, 'ab'), ('list', 1, 'b')], 9, 'b'),
        ([LISTED, ('answer', 5, 'd'), ('list', 6, 'abc')], 9, 'abcd'),
        (
            [
                LISTED,
                ('answer', 5, 'd'),
                ('list', 6, 'abc'),
                ('list', 20, 'abc'),
            ],
            20,
            'abc',
        ),
        ([LISTED, ('answer', 0, 'abc'), *FAILED[:2]], 9, 'abcd'),
        ([LISTED, ('answer', 0, 'abc'), *FAILED], 9, 'abc'),
        (
            [LISTED, ('answer', 8, 'abcd'), *FAILED],
            9,
            'abcd',
        ),
        (
            [LISTED, *FAILED, ('answer', 2, 'abcd')],
            9,
            'abcd',
        ),
        ([LISTED, *ALL_FAILED], 9, 'abcd'),
    ],
)
def test_members(events, at, members):
    roster = Roster()
    for kind, when, names in events:
        if kind == 'list':
            roster.take_list(map(one, names), when)
        elif kind == 'told':
            roster.take_told(map(one, names))
        else:
            for name in names:
                roster.note(name, answered=kind == 'answer', at=when)
    assert ''.join(found.name for found in roster.members(at)) == members
