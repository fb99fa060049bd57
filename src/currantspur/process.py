"""Run one entry instance in this process until it is told to stop."""

import asyncio
import sys
from functools import partial
from pathlib import Path

import uvloop

from currantspur.daemon import Daemon
from currantspur.errors import TaskFailedError
from currantspur.process_signals import handle_signals
from currantspur.settings import DaemonSettings, read_daemon_settings
from currantspur.tasks import SystemClock
from currantspur.wire.logs import (
    JsonLineSink,
    NonBlockingOutput,
    configure_logging,
)
from currantspur.wire.metrics import Metrics


def run_from_settings(path: Path) -> None:
    """Run an instance.

    Raise SettingsError if its settings are wrong, and OSError or
    UnicodeDecodeError if the file cannot be read.
    """
    text = path.read_text(encoding='utf-8')
    uvloop.run(run_entry(read_daemon_settings(text, file=str(path))))


async def run_entry(settings: DaemonSettings) -> None:
    """Run an instance until SIGTERM or SIGINT, then shut down gracefully.

    SIGHUP is only logged. Raise TaskFailedError if a background task ends
    before the signal.
    """
    metrics = Metrics()
    configure_logging(NonBlockingOutput(sys.stdout.fileno(), metrics))
    clock = SystemClock()
    sink = JsonLineSink(
        instance=settings.instance, clock=clock, metrics=metrics
    )
    daemon = Daemon(settings, sink=sink, metrics=metrics, clock=clock)
    stop_requested = asyncio.Event()
    handle_signals(
        asyncio.get_running_loop(),
        on_stop=stop_requested.set,
        # Without a handler SIGHUP would end the process; settings are not
        # reloaded.
        on_reload=partial(daemon.journal.note, 'reload_without_change'),
    )
    await daemon.start()
    stop_signal = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait(
        (stop_signal, daemon.background_tasks.first_failure),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if daemon.background_tasks.first_failure.done():
        await daemon.stop_now()
        raise TaskFailedError(
            type(daemon.background_tasks.first_failure.result()).__name__
        )
    await daemon.drain_and_stop()
