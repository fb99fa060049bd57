"""Run daemons."""

from pathlib import Path

from currantspur.cli.application import app
from currantspur.entry import run_from_settings


@app.command
def entry(*, settings: Path) -> None:
    """Run one entry instance."""
    run_from_settings(settings)
