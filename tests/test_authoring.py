import runpy
from pathlib import Path

import pytest

from currantspur.authoring import (
    Draft,
    Key,
    Region,
    Route,
    Steering,
    Target,
    Team,
)
from currantspur.decisions.difference import compare
from currantspur.errors import SettingsError
from currantspur.settings import print_configuration, read_configuration

EXAMPLE = Path(__file__).parent.parent / 'docs/operators/policies.py'


def add_each(*messages):
    draft = Draft()
    for message in messages:
        draft.add(message)
    return draft


def line_of(text):
    lines = Path(__file__).read_text().splitlines()
    return next(at for at, one in enumerate(lines, start=1) if text in one)


TEAMS = [Team(name=f'team-{index}', rate=1, burst=2.0) for index in range(4)]


@pytest.mark.parametrize('order', [TEAMS, list(reversed(TEAMS))])
def test_stable_bytes(order):
    draft = add_each(*order)
    text = draft.text()
    assert text == draft.text() == add_each(*TEAMS).text()
    assert print_configuration(read_configuration(text)) == text


@pytest.mark.parametrize(
    ('messages', 'path', 'text'),
    [
        ([Team(name='a', rate='x', burst=1)], 'teams[0].rate', 'a number'),
        ([Team(name='a', rate=float('nan'), burst=1)], 'teams[0].rate', 'numb'),
        ([TEAMS[1], TEAMS[0], TEAMS[1]], 'teams[2].name', 'given twice'),
        ([Key(key_id='1', team='a', digest='')], 'keys[0].team', 'no such'),
        ([Route(prefix='x', service='a')], 'routes[0].prefix', 'with /'),
        ([Steering(cache_s=-1)], 'steering.cache_s', 'a number from'),
        ([Steering(), Steering()], 'steering', 'given twice'),
        (['text'], '', 'not a part: str'),
        (
            [
                Target(
                    name='t',
                    service='s',
                    address='host:1',
                    availability_zone='z',
                )
            ],
            'targets[0].address',
            'IP number',
        ),
        (
            [
                Region(
                    name='r',
                    availability_zones=('z', 7),
                    intake_rate=1,
                    intake_burst=0,
                )
            ],
            'regions[0].intake_burst',
            'from 1',
        ),
    ],
)
def test_findings_have_places(messages, path, text):
    with pytest.raises(SettingsError) as raised:
        add_each(*messages).text()
    found = [one for one in raised.value.findings if one.path == path]
    assert any(text in one.text for one in found), raised.value.findings
    for finding in raised.value.findings:
        assert finding.file == __file__
        assert finding.line == line_of('draft.add(message)')
        assert finding.column == 9


def test_example(capsys):
    runpy.run_path(str(EXAMPLE), run_name='__main__')
    first = capsys.readouterr().out
    configuration = read_configuration(first)
    assert len(configuration.regions) == 3
    describe = runpy.run_path(str(EXAMPLE))['describe']
    assert describe().text() == first
    assert not compare(configuration, describe().configuration())


def test_write_exits_with_findings(capsys):
    draft = add_each(Team(name='a', rate='x', burst=1))
    with pytest.raises(SystemExit) as raised:
        draft.write()
    assert raised.value.code == 1
    printed = capsys.readouterr()
    assert not printed.out
    assert f'{__file__}:' in printed.err
