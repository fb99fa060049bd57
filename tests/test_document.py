import pytest

from currantspur.errors import SettingsError
from currantspur.settings import read_daemon_settings

INSTANCE_SETTINGS = """\
instance: entry-1
availability_zone: north-1
regions: {north-1: north, south-1: south}
listen: 127.0.0.1:8001
ready: 127.0.0.1:8002
directory: 127.0.0.1:8003
peer: 127.0.0.1:8004
metrics: 127.0.0.1:8005
store: 127.0.0.1:9000
limits: {retry_ratio: 0.2, grace_s: 6}
"""


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'path', 'text'),
    [
        ('instance: entry-1\n', '', 1, 'instance', 'missing'),
        ('127.0.0.1:8001', 'host.example:80', 4, 'listen', 'IP address'),
        ('127.0.0.1:8001', '127.0.0.1:99999', 4, 'listen', 'IP address'),
        ('listen:', 'listne:', 4, 'listne', 'unknown key'),
        ('entry-1', '7', 1, 'instance', 'expected a string'),
        ('0.2', 'soon', 10, 'limits.retry_ratio', 'expected a number'),
        ('0.2', '-1', 10, 'limits.retry_ratio', 'from 0'),
        ('0.2', '.nan', 10, 'limits.retry_ratio', 'expected a number'),
        ('grace_s', 'grase_s', 10, 'limits.grase_s', 'unknown key'),
        ('north-1: north', 'north-1: 7', 3, 'regions.north-1', 'a string'),
        ('ready:', 'listen: 127.0.0.1:1\nready:', 5, 'listen', 'duplicate key'),
        ('instance:', '[}', 1, '', 'not YAML'),
        ('ready:', '{[a]: b}: 1\nready:', 5, '?', 'unknown key'),
        ('ready:', 'x: [&a [1], *a]\nready:', 5, '', 'aliases are not'),
        ('ready:', f'x: {"[" * 30}{"]" * 30}\nready:', 5, '', 'nested more'),
    ],
)
def test_mistake_is_reported_with_line_and_path(
    old: str, new: str, line: int, path: str, text: str
):
    with pytest.raises(SettingsError) as raised:
        read_daemon_settings(
            INSTANCE_SETTINGS.replace(old, new, 1), file='entry.yaml'
        )
    assert any(
        (finding.line, finding.path) == (line, path) and text in finding.text
        for finding in raised.value.findings
    ), raised.value.findings


def test_all_mistakes_are_reported_together():
    text = INSTANCE_SETTINGS.replace('8001', 'x').replace('entry-1', '7')
    with pytest.raises(SettingsError) as raised:
        read_daemon_settings(text, file='entry.yaml')
    assert [finding.path for finding in raised.value.findings] == [
        'instance',
        'listen',
    ]


def test_valid_settings_are_read():
    settings = read_daemon_settings(INSTANCE_SETTINGS, file='entry.yaml')
    assert settings.region == 'north'
    assert settings.limits.grace_s == 6
    assert settings.limits.retry_slack > 0
