"""Start one entry instance as a process.

Imports only what an instance needs, not the command line, model or stand-ins,
and most of that only once signals are held: the imports take some 0.2 s, within
which a signal would end the process.
"""

import sys
from importlib import import_module
from pathlib import Path

from currantspur.errors import SettingsError
from currantspur.process_signals import hold_signals

# As in cli.application, which an instance does not import.
EXIT_FINDINGS = 1


def run_from_settings(path: Path) -> None:
    """Run an instance.

    Raise SettingsError if its settings are wrong, and OSError or
    UnicodeDecodeError if the file cannot be read.
    """
    hold_signals()
    import_module('currantspur.process').run_from_settings(path)


if __name__ == '__main__':
    try:
        run_from_settings(Path(sys.argv[1]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FINDINGS)
