"""Hold the application that every command registers at."""

import sys

import cyclopts

from currantspur.errors import CurrantspurError

EXIT_FINDINGS = 1
EXIT_FAILED = 2

app = cyclopts.App(name='currantspur', help='Steer traffic across regions.')


def main() -> None:
    """Run the command line; exit 2 where a command failed."""
    try:
        app()
    except (CurrantspurError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FAILED)
