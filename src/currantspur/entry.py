"""Run one entry instance as a process, importing only what that takes."""

import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from currantspur.daemon import Daemon
from currantspur.errors import SettingsError, TaskFailedError
from currantspur.settings import DaemonSettings, read_daemon_settings
from currantspur.tasks import SystemClock
from currantspur.wire.logs import JsonLineSink, NonBlockingOutput, open_log
from currantspur.wire.metrics import Metrics

EXIT_FINDINGS = 1


def run_from_settings(path: Path) -> None:
    """Run an instance by a settings file; raise SettingsError."""
    text = path.read_text(encoding='utf-8')
    uvloop.run(run_entry(read_daemon_settings(text, file=str(path))))


async def run_entry(settings: DaemonSettings) -> None:
    """Run an instance until a signal; raise TaskFailedError if one ended."""
    metrics = Metrics()
    open_log(NonBlockingOutput(sys.stdout.fileno(), metrics))
    clock = SystemClock()
    sink = JsonLineSink(
        instance=settings.instance, clock=clock, metrics=metrics
    )
    daemon = Daemon(settings, sink=sink, metrics=metrics, clock=clock)
    await daemon.start()
    signalled = asyncio.ensure_future(_wait_for_signal(daemon))
    await asyncio.wait(
        (signalled, daemon.background_tasks.first_failure),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if daemon.background_tasks.first_failure.done():
        await daemon.stop_now()
        raise TaskFailedError(
            type(daemon.background_tasks.first_failure.result()).__name__
        )
    await daemon.drain_and_stop()


async def _wait_for_signal(daemon: Daemon) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stopped.set)
    loop.add_signal_handler(
        signal.SIGHUP, daemon.journal.note, 'reload_without_change'
    )
    await stopped.wait()


if __name__ == '__main__':
    try:
        run_from_settings(Path(sys.argv[1]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_FINDINGS)
