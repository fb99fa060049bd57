"""Check files without a running instance."""

import sys
from pathlib import Path

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.errors import SettingsError
from currantspur.settings import (
    Finding,
    is_daemon_settings,
    read_configuration,
    read_daemon_settings,
)


@app.command
def check(*files: Path) -> None:
    """Check files and print every finding with its place."""
    findings = [finding for file in files for finding in check_file(file)]
    for finding in findings:
        sys.stdout.write(f'{finding}\n')
    if findings:
        sys.exit(EXIT_FINDINGS)


def read_proposal(file: Path) -> str:
    """Return the text of a configuration file; raise SettingsError."""
    text, findings = read_file(file)
    if findings:
        raise SettingsError(findings)
    return text


def read_file(file: Path) -> tuple[str, list[Finding]]:
    """Return the text of a file, or the finding why there is none."""
    name = str(file)
    try:
        return file.read_text(encoding='utf-8'), []
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
    except UnicodeDecodeError as error:
        problem = f'not UTF-8 at byte {error.start}'
    return '', [blame_file(name, problem)]


def check_file(file: Path) -> list[Finding]:
    """Return the findings about daemon settings or a configuration."""
    text, findings = read_file(file)
    if findings:
        return findings
    try:
        _read(text, str(file))
    except SettingsError as error:
        return list(error.findings)
    return []


def blame_file(file: str, text: str) -> Finding:
    """Return a finding about a whole file."""
    return Finding(file=file, line=1, column=1, path='', text=text)


def _read(text: str, name: str) -> None:
    if is_daemon_settings(text):
        read_daemon_settings(text, file=name)
    else:
        read_configuration(text, file=name)
