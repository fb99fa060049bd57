import pytest

from currantspur.cli.checking import check_file
from tests.test_document import INSTANCE_SETTINGS


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (INSTANCE_SETTINGS.encode(), None),
        (b'{instance: entry-1}\n', '1:1'),
        (b'listen: 127.0.0.1:1\n', 'instance: missing'),
        (b'teams: \xff\n', 'not UTF-8 at byte 7'),
        (b'[}', 'not YAML'),
        (b'', 'expected a mapping'),
        (None, 'cannot be read: No such file'),
    ],
)
def test_only_wrong_settings_file_is_reported(tmp_path, content, expected):
    file = tmp_path / 'file.yaml'
    if content is not None:
        file.write_bytes(content)
    findings = '\n'.join(str(finding) for finding in check_file(file))
    assert bool(findings) is bool(expected)
    assert not expected or expected in findings


def test_directory_is_reported_as_unreadable(tmp_path):
    assert 'cannot be read' in str(check_file(tmp_path)[0])
