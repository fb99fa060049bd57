"""Command `check`: validate settings files."""

import sys
from pathlib import Path

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.errors import SettingsError
from currantspur.settings import Finding, read_daemon_settings


@app.command
def check(*files: Path) -> None:
    """Check settings files and print each finding with its position.

    Needs no running instance. Exits with status 1 if there are findings.

    Args:
        files: Settings files of instances, in YAML.

    """
    findings = [finding for file in files for finding in check_file(file)]
    for finding in findings:
        sys.stdout.write(f'{finding}\n')
    if findings:
        sys.exit(EXIT_FINDINGS)


def check_file(path: Path) -> list[Finding]:
    """Return the findings about a settings file, empty if it is valid."""
    text, findings = read_settings_text(path)
    if findings:
        return findings
    try:
        read_daemon_settings(text, file=str(path))
    except SettingsError as error:
        return list(error.findings)
    return []


def read_settings_text(path: Path) -> tuple[str, list[Finding]]:
    """Return the text of a file, or a finding if it cannot be read."""
    name = str(path)
    try:
        return path.read_text(encoding='utf-8'), []
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
    except UnicodeDecodeError as error:
        problem = f'not UTF-8 at byte {error.start}'
    return '', [Finding(file=name, line=1, column=1, path='', text=problem)]
