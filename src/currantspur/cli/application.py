"""Application at which the modules register their commands."""

import sys
from collections.abc import Sequence

import cyclopts

from currantspur.errors import CurrantspurError, SettingsError

# Findings in settings, a failed demo or no log line of the request.
EXIT_FINDINGS = 1
# Any other error, or violations in a soak run.
EXIT_FAILED = 2

app = cyclopts.App(name='currantspur', help='Steer traffic across regions.')


def main(tokens: Sequence[str] | None = None) -> None:
    """Run the command line; exit 1 on findings, 2 if a command failed.

    Errors of this package and of the system are printed to stderr.
    """
    try:
        app(tokens)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FINDINGS)
    except (CurrantspurError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FAILED)
