"""Run daemons and stand-ins."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

import cyclopts
import uvloop
from aiohttp import web
from loguru import logger

from currantspur.cli.application import app
from currantspur.daemon import Daemon
from currantspur.demo import run_demo
from currantspur.errors import TaskFailedError
from currantspur.settings import read_daemon_settings
from currantspur.standins import (
    PlatformStandin,
    TargetStandin,
    open_memory_platform,
)
from currantspur.wire.server import open_server

standin = cyclopts.App(name='standin', help='Run a stand-in by hand.')
app.command(standin)


@app.command
def entry(*, settings: Path) -> None:
    """Run one entry instance."""
    logger.remove()
    logger.add(sys.stderr, diagnose=False)
    text = settings.read_text(encoding='utf-8')
    parsed = read_daemon_settings(text, file=str(settings))
    uvloop.run(_run_daemon(Daemon, parsed))


@app.command
def demo() -> None:
    """Run a small fleet on loopback and show what it does."""
    logger.remove()
    sys.exit(uvloop.run(run_demo()))


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


async def _run_daemon(kind: type[Daemon], settings: Any) -> None:
    daemon = kind(settings)
    await daemon.start()
    signalled = asyncio.create_task(_wait_for_signal())
    await asyncio.wait(
        (signalled, daemon.jobs.failure), return_when=asyncio.FIRST_COMPLETED
    )
    if daemon.jobs.failure.done():
        await daemon.stop()
        raise TaskFailedError(type(daemon.jobs.failure.result()).__name__)
    hurried = asyncio.create_task(_wait_for_signal())
    await daemon.leave(hurried)
    hurried.cancel()


async def _serve(application: web.Application, address: str) -> None:
    runner = await open_server(application, address)
    logger.info('listens at {}', address)
    await _wait_for_signal()
    await runner.cleanup()


async def _wait_for_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stopped.set)
    await stopped.wait()
