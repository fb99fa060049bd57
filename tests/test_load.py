import pytest

from currantspur.errors import LoadError, SettingsError
from currantspur.load import Allowance, Hit, LoadSpec, Mix, Shot, read_load
from currantspur.load.arrivals import draw_shots
from currantspur.load.caller import check_loopback
from currantspur.load.checks import (
    AtMostOnce,
    RightAnswer,
    TrueNotRun,
    WithinRate,
)

MIX = Mix(name='read', path='/status', team='one')


def hit(name, *, at=0.0, status=200, submission=None, **marks):
    shot = Shot(at_s=at, mix=MIX, request_id=name, submission=submission)
    return Hit(shot=shot, sent_s=at, ended_s=at + 0.1, status=status, **marks)


@pytest.mark.parametrize(
    ('check', 'hits', 'violations'),
    [
        (RightAnswer(), [hit('a'), hit('b', is_right=False)], 1),
        (RightAnswer(), [hit('b', status=503, is_right=False)], 0),
        (AtMostOnce({'s': 2}), [hit('a', submission='s')], 1),
        (
            AtMostOnce({'s': 1}),
            [hit('a', submission='s'), hit('b', submission='s')],
            0,
        ),
        (TrueNotRun({'a': 1}), [hit('a', status=503, not_run=True)], 1),
        (TrueNotRun({}), [hit('a', status=503, not_run=True)], 0),
        (
            TrueNotRun({'s': 1}),
            [
                hit('a', submission='s'),
                hit('b', status=409, submission='s', not_run=True),
            ],
            0,
        ),
    ],
)
def test_checks(check, hits, violations):
    assert len(list(check.find(hits))) == violations


@pytest.mark.parametrize(
    ('times', 'violations'),
    [
        ([0.0, 0.0], 0),
        ([0.0, 0.0, 0.0], 1),
        ([0.0, 0.0, 1.0], 0),
        ([0.0, 0.5, 0.5, 0.5], 1),
        ([5.0, 9.0, 9.0, 9.0], 1),
    ],
)
def test_within_rate(times, violations):
    check = WithinRate(Allowance(team='one', rate=1.0, burst=2.0))
    hits = [hit(str(number), at=at) for number, at in enumerate(times)]
    assert len(list(check.find(hits))) == violations


def test_same_seed_same_shots():
    spec = LoadSpec(
        entries=('127.0.0.1:1', '127.0.0.1:2'),
        mixes=(MIX, Mix(name='file', path='/submission', submission=True)),
        rate=100,
        duration_s=2.0,
        seed=7,
        doubled=0.5,
    )
    shots = list(draw_shots(spec))
    assert shots == list(draw_shots(spec))
    times = [shot.at_s for shot in shots]
    assert times == sorted(times)
    submissions = [shot.submission for shot in shots if shot.submission]
    assert len(set(submissions)) < len(submissions)


@pytest.mark.parametrize(
    'address', ['10.0.0.1:80', '192.168.0.1:80', '8.8.8.8:53', '[::2]:80']
)
def test_off_loopback(address):
    with pytest.raises(LoadError):
        check_loopback([address])


@pytest.mark.parametrize(
    ('text', 'path'),
    [
        ('rate: 1\nduration_s: 1\nmixes: []\nentries: []', 'entries'),
        ('rate: -1\nduration_s: 1', 'rate'),
        ('entries: [host:80]', 'entries[0]'),
        ('mixes: [{name: a, path: /, weight: 0}]', 'mixes[0].weight'),
    ],
)
def test_load_findings(text, path):
    with pytest.raises(SettingsError) as raised:
        read_load(text, file='load.yaml')
    assert path in {finding.path for finding in raised.value.findings}
