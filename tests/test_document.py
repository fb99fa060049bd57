import pytest

from currantspur.errors import SettingsError
from currantspur.settings import (
    print_configuration,
    read_configuration,
    read_daemon_settings,
)
from currantspur.standins.workloads import (
    WORKLOADS,
    describe_workload,
    name_targets,
)

DAEMON = """\
instance: entry-1
availability_zone: north-1
listen: 127.0.0.1:8001
peer: 127.0.0.1:8002
admin: 127.0.0.1:8003
platform: 127.0.0.1:9000
"""


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'path', 'text'),
    [
        ('instance: entry-1\n', '', 1, 'instance', 'missing'),
        ('127.0.0.1:8001', 'host.example:80', 3, 'listen', 'IP number'),
        ('127.0.0.1:8001', '127.0.0.1:99999', 3, 'listen', 'IP number'),
        ('listen:', 'listne:', 3, 'listne', 'unknown name'),
        ('entry-1', '7', 1, 'instance', 'expected a text'),
        ('peer:', 'poll_s: soon\npeer:', 4, 'poll_s', 'expected a number'),
        ('peer:', 'poll_s: -1\npeer:', 4, 'poll_s', 'from 0.01'),
        ('peer:', 'poll_s: .nan\npeer:', 4, 'poll_s', 'expected a number'),
        ('peer:', 'listen: 127.0.0.1:1\npeer:', 4, 'listen', 'given twice'),
        ('instance:', '[}', 1, '', 'not YAML'),
        ('peer:', '{[a]: b}: 1\npeer:', 4, '?', 'unknown name'),
        ('peer:', 'x: [&a [1], *a]\npeer:', 4, '', 'aliases are not'),
        ('peer:', f'x: {"[" * 30}{"]" * 30}\npeer:', 4, '', 'nested more'),
        (
            'peer:',
            'operators: [{name: a, role: root, key_id: é, digest: x}]\npeer:',
            4,
            'operators[0].digest',
            '64 hexadecimal digits',
        ),
    ],
)
def test_findings(old: str, new: str, line: int, path: str, text: str):
    with pytest.raises(SettingsError) as raised:
        read_daemon_settings(DAEMON.replace(old, new, 1), file='entry.yaml')
    assert any(
        (finding.line, finding.path) == (line, path) and text in finding.text
        for finding in raised.value.findings
    ), raised.value.findings


def test_all_findings_together():
    text = 'teams:\n- {name: one, rate: x, burst: 0}\nkeys: [{team: two}]\n'
    with pytest.raises(SettingsError) as raised:
        read_configuration(text)
    assert {finding.path for finding in raised.value.findings} >= {
        'teams[0].rate',
        'teams[0].burst',
        'keys[0].team',
        'keys[0].key_id',
        'keys[0].digest',
    }


@pytest.mark.parametrize('name', sorted(WORKLOADS))
def test_print_and_read_back(name: str):
    workload = WORKLOADS[name]
    addresses = dict.fromkeys(name_targets(workload), '127.0.0.1:9')
    written = describe_workload(workload, addresses)
    text = print_configuration(written)
    assert read_configuration(text) == written
    assert print_configuration(read_configuration(text)) == text


@pytest.mark.parametrize(
    ('written', 'seeds'),
    [
        ('', ()),
        ('seeds: []\n', ()),
        ('seeds:\n- peer: 10.0.0.1:2\n', ('10.0.0.1:2',)),
    ],
)
def test_seeds(written: str, seeds: tuple[str, ...]):
    settings = read_daemon_settings(DAEMON + written, file='entry.yaml')
    assert settings.seeds == seeds
