from functools import reduce

import pytest

from currantspur.decisions.difference import blame, compare, flatten
from currantspur.decisions.edits import (
    CancelDrain,
    IssueKey,
    IssueOperatorKey,
    PauseDrain,
    Replace,
    StartDrain,
    WithdrawKey,
)
from currantspur.decisions.forecast import foresee
from currantspur.decisions.identity import mint_key
from currantspur.decisions.operators import (
    OperatorRing,
    may,
    mint_operator_key,
)
from currantspur.errors import EditError
from currantspur.messages import Configuration, Drain, Head, Team
from currantspur.settings import print_configuration, read_configuration
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    name_targets,
)

ADDRESSES = dict.fromkeys(name_targets(ETIQUETA_CLARA), '127.0.0.1:9')
_, KEY = mint_key('team-1')
_, STRAY = mint_key('team-99')
SECRET, ANNA = mint_operator_key('anna', 'drain')
ROLES = ('read', 'drain', 'change')
DRAIN = Drain(drain_id='d1', scope='region', name='north')
INSIDE = Drain(drain_id='d3', scope='availability_zone', name='north-1')
REST = [
    Drain(drain_id=f'd-{name}', scope='region', name=name)
    for name in ('central', 'south')
]
NOWHERE = Drain(drain_id='d2', scope='target', name='nowhere')


def describe() -> Configuration:
    return describe_workload(ETIQUETA_CLARA, ADDRESSES)


def replace_teams(*teams: Team) -> Configuration:
    configuration = describe()
    configuration.teams = (*teams, *configuration.teams[len(teams) :])
    return configuration


def issue(key):
    return IssueKey(key=key, change_id='c')


def withdraw(key):
    return WithdrawKey(key_id=key.key_id, change_id='c')


def start(drain):
    return StartDrain(drain=drain, change_id='c')


def pause(*, paused=True):
    return PauseDrain(drain_id='d1', paused=paused, change_id='c')


def apply(configuration, edit):
    return edit.apply(configuration)


CANCEL = CancelDrain(drain_id='d1', change_id='c')
ADMIT = IssueOperatorKey(operator=ANNA, change_id='c')


@pytest.mark.parametrize(
    ('edits', 'changed'),
    [
        ([issue(KEY)], {'keys'}),
        ([issue(KEY), issue(KEY)], {'keys'}),
        ([issue(KEY), withdraw(KEY)], set()),
        ([ADMIT], {'operators'}),
        ([ADMIT, withdraw(ANNA)], set()),
        ([start(DRAIN)], {'drains'}),
        ([start(DRAIN), pause()], {'drains'}),
        ([start(DRAIN), pause(), pause(paused=False)], {'drains'}),
        ([start(DRAIN), CANCEL], set()),
        (
            [
                Replace(
                    configuration=Configuration(),
                    change_id='c',
                    base_version=1,
                )
            ],
            {'teams', 'routes', 'targets', 'regions', 'links', 'blocks'},
        ),
    ],
)
def test_edits(edits, changed):
    before = describe()
    after = reduce(apply, edits, before)
    sections = {one.path.split('[')[0] for one in compare(before, after)}
    assert sections - {'steering.objective'} == changed
    assert read_configuration(print_configuration(after)) == after
    assert before == describe()


@pytest.mark.parametrize(
    ('edits', 'detail'),
    [
        ([issue(STRAY)], 'no such team'),
        ([withdraw(KEY)], 'no such key'),
        ([start(DRAIN), start(DRAIN)], 'drain exists'),
        ([start(NOWHERE)], 'no such target'),
        ([start(DRAIN), start(INSIDE)], 'both take'),
        ([start(DRAIN), start(REST[0]), start(REST[1])], 'no target would'),
        ([pause()], 'no such drain'),
        ([CANCEL], 'no such drain'),
    ],
)
def test_refused_edits(edits, detail):
    with pytest.raises(EditError, match=detail):
        reduce(apply, edits, describe())


@pytest.mark.parametrize(
    ('path', 'versions'),
    [
        ('teams[team-1].rate', {'teams[team-1].rate': 3}),
        ('teams[team-1].burst', {'teams[team-1].burst': 1}),
        ('teams[team-2]', dict.fromkeys(
            ('teams[team-2].burst', 'teams[team-2].name'), 2,
        ) | {'teams[team-2].rate': 2}),
        ('teams[team', {}),
        ('teams[nobody]', {}),
    ],
)  # fmt: skip
def test_blame(path, versions):
    one = Team(name='team-1', rate=1, burst=5)
    other = Team(name='team-2', rate=1, burst=5)
    faster = Team(name='team-1', rate=2, burst=5)
    states = [(one,), (one, other), (faster, other), (faster, other)]
    history = [
        (
            Head(version=index, sections={}, author='a', change_id=f'{index}'),
            Configuration(teams=teams),
        )
        for index, teams in enumerate(states, start=1)
    ]
    found = blame(reversed(history), path)
    assert {one.path: one.version for one in found} == versions


def test_paths_are_unique():
    configuration = describe()
    assert len(flatten(configuration)) > len(configuration.targets) * 6


@pytest.mark.parametrize(
    ('after', 'subject', 'is_warning'),
    [
        (replace_teams(Team(name='team-1', rate=1, burst=5)), 'team-1', True),
        (replace_teams(Team(name='team-1', rate=200, burst=5)), 'team-1', None),
        (
            replace_teams(Team(name='team-1', rate=900, burst=5)),
            'all regions',
            True,
        ),
        (start(DRAIN).apply(describe()), 'region north', True),
        (start(DRAIN).apply(describe()), 'service status', None),
        (Configuration(), 'service status', True),
        (describe(), 'all regions', None),
    ],
)
def test_forecast(after, subject, is_warning):
    effects = foresee(describe(), after)
    named = [one for one in effects if one.subject.endswith(subject)]
    assert [one.is_warning for one in named] == [bool(is_warning)]


@pytest.mark.parametrize(
    ('secret', 'found'),
    [
        (SECRET, ANNA),
        (f'co_{SECRET[3:20]}{"x" * 43}', None),
        (SECRET.replace('co_', 'ck_'), None),
        (f'co_0123456789abcdef_{"x" * 43}', None),
        ('', None),
        ('co_é', None),
    ],
)
def test_operator_ring(secret, found):
    assert OperatorRing([ANNA]).find(secret) == found
    assert OperatorRing([]).find(secret) is None


@pytest.mark.parametrize(('rank', 'role'), list(enumerate(ROLES, start=1)))
def test_roles(rank, role):
    _, operator = mint_operator_key('x', role)
    assert [may(operator, one) for one in ROLES] == [
        index < rank for index in range(len(ROLES))
    ]
