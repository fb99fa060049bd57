import pytest

from currantspur.decisions.object_homes import MIN_JOIN_S
from currantspur.decisions.object_moves import (
    MAX_OBJECTS,
    MoveCause,
    ObjectMoves,
)
from currantspur.tasks.object_journal import ObjectJournal
from tests.test_dispatcher import ask, make_dispatcher
from tests.test_placement import make_request, make_state


def make_journal(*zones):
    """Return a journal of objects and the states of its targets."""
    state = make_state(*zones)
    states = state.states_by_service['s']
    by_name = {each.target.name: each for each in states}
    return ObjectJournal(None, state, by_name), states


# Guards against moves without a cause, or with that of another.
@pytest.mark.parametrize(
    ('change', 'cause'),
    [
        (lambda journal, before, after: None, MoveCause.OVERLOAD),
        (
            lambda journal, before, after: setattr(after, 'has_joined', True),
            MoveCause.JOINED,
        ),
        (
            lambda journal, before, after: setattr(
                before.target, 'is_draining', True
            ),
            MoveCause.LEFT,
        ),
        (
            lambda journal, before, after: journal.target_states.pop('t0'),
            MoveCause.LEFT,
        ),
        (
            lambda journal, before, after: setattr(
                journal.placement_state, 'evacuated_zones', {'n1'}
            ),
            MoveCause.LEFT,
        ),
    ],
)
def test_moves_are_counted_by_cause(change, cause):
    journal, (before, after) = make_journal('n1', 'n2')
    request = make_request()
    for _ in range(2):
        journal.count_move(request, before, 1.0)
    assert not journal.moves.count_by_cause
    change(journal, before, after)
    for _ in range(2):
        journal.count_move(request, after, MIN_JOIN_S)
    assert journal.moves.count_by_cause == {cause: 1}


@pytest.mark.parametrize(
    'overrides',
    [{'object_key': None}, {'excluded_targets': frozenset(('t0',))}],
)
def test_only_first_attempts_count(overrides):
    journal, (before, after) = make_journal('n1', 'n2')
    journal.count_move(make_request(), before, 1.0)
    journal.count_move(make_request(**overrides), after, 1.0)
    assert not journal.moves.count_by_cause


@pytest.mark.parametrize(
    ('slots', 'counts', 'fullest'),
    [
        ((3, 3), (10, 10), 1.0),
        ((3, 3), (15, 5), 1.5),
        ((6, 3), (20, 10), 1.0),
        ((6, 3), (10, 20), 2.0),
        # Targets that got no object count as well; other regions do not.
        ((3, 3), (10, 0), 2.0),
        ((3, 3, 3), (10, 10, 90), 1.0),
        ((3, 3), (0, 0), 0.0),
    ],
)
def test_share_of_fullest_target(slots, counts, fullest):
    journal, states = make_journal(*('n1', 'n2', 's1')[: len(slots)])
    for state, size, count in zip(states, slots, counts, strict=True):
        state.target.slots = size
        for number in range(count):
            object_key = f'{state.target.name} {number}'
            request = make_request(object_key=object_key)
            journal.count_move(request, state, 1.0)
    assert journal.find_fullest() == pytest.approx(fullest)


def test_objects_are_bounded():
    moves = ObjectMoves()
    journal, (state,) = make_journal('n1')
    journal.moves = moves
    for number in range(MAX_OBJECTS + 9):
        request = make_request(object_key=str(number))
        journal.count_move(request, state, 1.0)
    assert len(moves.target_by_object) == MAX_OBJECTS
    assert moves.find_target('s', '0') is None


async def test_dispatcher_counts_moves():
    dispatcher = make_dispatcher('n1', 'n1')
    first = await ask(dispatcher, object_key='17')
    dispatcher.target_states[first.target.name].target.is_draining = True
    await ask(dispatcher, object_key='17')
    counts = dispatcher.object_journal.moves.count_by_cause
    assert counts == {MoveCause.LEFT: 1}
