"""Run the demonstration."""

import sys

import uvloop
from loguru import logger

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.demo import run_demo


@app.command
def demo() -> None:
    """Run a small fleet on loopback; exit 1 where it fell short."""
    logger.remove()
    if not uvloop.run(show_demo()):
        sys.exit(EXIT_FINDINGS)


async def show_demo() -> bool:
    """Print each expectation as it is met or not; tell if all were."""
    all_held = True
    async for expected, has_held in run_demo():
        sys.stdout.write(f'{"holds" if has_held else "FAILS"}: {expected}\n')
        all_held = all_held and has_held
    return all_held
