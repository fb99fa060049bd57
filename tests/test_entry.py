import signal
import subprocess
import sys

import pytest
import yaml

from currantspur.soak.processes import make_settings_document
from currantspur.standins.fleet import find_free_address, make_settings

PRINT_LOADED_MODULES = 'import sys, currantspur.process; print(*sys.modules)'


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


# Runs an instance that gets a signal while its modules are imported.
RUN_WITH_SIGNAL = """
import os, runpy, sys
class Finder:
    def find_spec(name, path=None, target=None):
        if name == 'currantspur.daemon':
            os.kill(os.getpid(), int(sys.argv[2]))
sys.meta_path.insert(0, Finder)
runpy.run_module('currantspur.entry', run_name='__main__')
"""


def start_with_signal(tmp_path, signal_number):
    document = make_settings_document(
        make_settings('entry-0', 'north-1', find_free_address())
    )
    settings = tmp_path / 'entry.yaml'
    settings.write_text(yaml.safe_dump(document))
    return subprocess.Popen(
        [
            sys.executable,
            '-c',
            RUN_WITH_SIGNAL,
            str(settings),
            str(int(signal_number)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )


# Guards against a process that ends at its start: no handler was set yet.
def test_reload_during_imports_is_handled(tmp_path):
    with start_with_signal(tmp_path, signal.SIGHUP) as process:
        for line in process.stdout:
            if 'reload_without_change' in line:
                process.send_signal(signal.SIGTERM)
        assert process.wait() == 0


@pytest.mark.parametrize('signal_number', [signal.SIGTERM, signal.SIGINT])
def test_stop_during_imports_ends_in_order(tmp_path, signal_number):
    with start_with_signal(tmp_path, signal_number) as process:
        lines = process.stdout.read()
        assert process.wait() == 0
        assert 'stopped' in lines
