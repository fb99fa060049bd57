import subprocess
import sys

import pytest

PRINT_LOADED_MODULES = 'import sys, currantspur.entry; print(*sys.modules)'


def run_python(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    'module',
    ['cyclopts', 'opentelemetry', 'currantspur.model', 'currantspur.standins'],
)
def test_entry_does_not_import_unneeded_modules(module):
    assert module not in run_python('-c', PRINT_LOADED_MODULES).stdout.split()


def test_wrong_settings_exit_with_findings(tmp_path):
    settings = tmp_path / 'entry.yaml'
    settings.write_text('instance: 7\n')
    completed = run_python('-m', 'currantspur.entry', str(settings))
    assert completed.returncode == 1
    assert 'entry.yaml' in completed.stderr
