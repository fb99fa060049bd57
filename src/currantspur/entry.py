"""Run one entry instance as a process.

Imports only what an instance needs, not the command line, model or stand-ins.
"""

import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from currantspur.daemon import Daemon
from currantspur.errors import SettingsError, TaskFailedError
from currantspur.settings import DaemonSettings, read_daemon_settings
from currantspur.tasks import SystemClock
from currantspur.wire.logs import (
    JsonLineSink,
    NonBlockingOutput,
    configure_logging,
)
from currantspur.wire.metrics import Metrics

# As in cli.application, which an instance does not import.
EXIT_FINDINGS = 1


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
    await daemon.start()
    stop_signal = asyncio.ensure_future(_wait_for_signal(daemon))
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


async def _wait_for_signal(daemon: Daemon) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # Without a handler SIGHUP would end the process; settings are not reloaded.
    loop.add_signal_handler(
        signal.SIGHUP, daemon.journal.note, 'reload_without_change'
    )
    await stop_requested.wait()


if __name__ == '__main__':
    try:
        run_from_settings(Path(sys.argv[1]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FINDINGS)
