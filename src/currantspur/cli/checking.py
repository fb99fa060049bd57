"""Check files without a running instance."""

import sys
from pathlib import Path

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.errors import SettingsError
from currantspur.settings import Finding, read_daemon_settings


@app.command
def check(*files: Path) -> None:
    """Check settings files and print every finding with its place."""
    findings = [finding for file in files for finding in check_file(file)]
    for finding in findings:
        sys.stdout.write(f'{finding}\n')
    if findings:
        sys.exit(EXIT_FINDINGS)


def check_file(file: Path) -> list[Finding]:
    """Return the findings about daemon settings."""
    text, findings = read_file(file)
    if findings:
        return findings
    try:
        read_daemon_settings(text, file=str(file))
    except SettingsError as error:
        return list(error.findings)
    return []


def read_file(file: Path) -> tuple[str, list[Finding]]:
    """Return the text of a file, or the finding why there is none."""
    name = str(file)
    try:
        return file.read_text(encoding='utf-8'), []
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
    except UnicodeDecodeError as error:
        problem = f'not UTF-8 at byte {error.start}'
    return '', [Finding(file=name, line=1, column=1, path='', text=problem)]
