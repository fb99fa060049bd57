"""Command `demo`: run the demonstration."""

import sys

import uvloop
from loguru import logger

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.demo import run_demo


@app.command
def demo() -> None:
    """Run a small fleet on loopback and check what it does.

    Exits with status 1 if an expectation does not hold.
    """
    logger.remove()
    if not uvloop.run(show_demo()):
        sys.exit(EXIT_FINDINGS)


async def show_demo() -> bool:
    """Print whether each expectation holds; return whether all do."""
    all_hold = True
    async for expectation, holds in run_demo():
        sys.stdout.write(f'{"holds" if holds else "FAILS"}: {expectation}\n')
        all_hold = all_hold and holds
    return all_hold
