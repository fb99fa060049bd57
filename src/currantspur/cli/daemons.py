"""Command `entry`: run an instance."""

from pathlib import Path

from currantspur.cli.application import app
from currantspur.entry import run_from_settings


@app.command
def entry(*, settings: Path) -> None:
    """Run one entry instance until it is stopped by a signal.

    Args:
        settings: Settings file of the instance, in YAML.

    """
    run_from_settings(settings)
