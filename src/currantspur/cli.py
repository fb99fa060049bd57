"""Offer the command line."""

import asyncio
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import cyclopts
import uvloop
from aiohttp import web
from loguru import logger

from currantspur.daemon import Daemon
from currantspur.demo import run_demo
from currantspur.errors import CurrantspurError, SettingsError
from currantspur.model import read_experiment, run_experiment
from currantspur.model.output import draw_plots, write_csv
from currantspur.settings import read_configuration, read_daemon_settings
from currantspur.standins import (
    PlatformStandin,
    TargetStandin,
    open_memory_platform,
)
from currantspur.wire.server import open_server

EXIT_FINDINGS = 1
EXIT_FAILED = 2

app = cyclopts.App(name='currantspur', help='Steer traffic across regions.')
standin = cyclopts.App(name='standin', help='Run a stand-in by hand.')
app.command(standin)


@app.command
def entry(*, settings: Path) -> None:
    """Run one entry instance."""
    text = settings.read_text(encoding='utf-8')
    parsed = read_daemon_settings(text, file=str(settings))
    uvloop.run(_run_daemon(Daemon, parsed))


@app.command
def check(*files: Path) -> None:
    """Check files and print every finding with its place."""
    findings = [finding for file in files for finding in _check_file(file)]
    for finding in findings:
        sys.stdout.write(f'{finding}\n')
    if findings:
        sys.exit(EXIT_FINDINGS)


@app.command
def demo() -> None:
    """Run a small fleet on loopback and show what it does."""
    logger.remove()
    sys.exit(uvloop.run(run_demo()))


@app.command
def experiment(
    *files: Path, out: Path | None = None, plots: bool = False
) -> None:
    """Run experiments of the decision model; write CSV, and plots if asked."""
    folder = out or Path('out')
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        rows = list(run_experiment(read_experiment(file)))
        write_csv(rows, folder / f'{file.stem}.csv')
        if plots:
            draw_plots(rows, folder / f'{file.stem}.png')


@standin.command(name='platform')
def run_platform(*, listen: str) -> None:
    """Run a stand-in of the platform at an IP number and port."""
    application = PlatformStandin(open_memory_platform()).application()
    uvloop.run(_serve(application, listen))


@standin.command(name='target')
def run_target(*, name: str, listen: str, delay_s: float = 0.0) -> None:
    """Run a stand-in of a target at an IP number and port."""
    application = TargetStandin(name=name, delay_s=delay_s).application()
    uvloop.run(_serve(application, listen))


def main() -> None:
    """Run the command line; exit 2 where a command failed."""
    try:
        app()
    except (CurrantspurError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FAILED)


def _check_file(file: Path) -> list[Any]:
    text = file.read_text(encoding='utf-8')
    reader = read_daemon_settings if 'instance:' in text else read_configuration
    try:
        reader(text, file=str(file))
    except SettingsError as error:
        return list(error.findings)
    return []


async def _run_daemon(kind: type[Daemon], settings: Any) -> None:
    daemon = kind(settings)
    await daemon.start()
    await _wait_for_signal()
    await daemon.stop()


async def _serve(application: web.Application, address: str) -> None:
    runner = await open_server(application, address)
    logger.info('listens at {}', address)
    await _wait_for_signal()
    await runner.cleanup()


def _wait_for_signal() -> Coroutine[Any, Any, bool]:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stopped.set)
    return stopped.wait()
