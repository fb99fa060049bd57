"""Run instances as child processes and send them signals."""

import asyncio
import signal
import sys
from pathlib import Path

import yaml

from currantspur.settings import DaemonSettings

STOP_TIMEOUT_S = 8.0


class EntryProcess:
    """One instance as a process that can be restarted after it ended."""

    __slots__ = ('log_path', 'process', 'settings', 'settings_path')

    def __init__(self, settings: DaemonSettings, folder: Path) -> None:
        """Create the process unstarted; settings and log go into the folder."""
        self.settings = settings
        self.settings_path = folder / f'{settings.instance}.yaml'
        self.log_path = folder / f'{settings.instance}.log'
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings file and start the process; append to its log."""
        self.settings_path.write_text(
            yaml.safe_dump(make_settings_document(self.settings))
        )
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'currantspur.entry',
                str(self.settings_path),
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process, by its id; do nothing if it ended."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal_number)

    async def stop(
        self, signal_number: signal.Signals = signal.SIGKILL
    ) -> None:
        """Stop the process with a signal, with SIGKILL after STOP_TIMEOUT_S.

        SIGCONT goes first, since a suspended process handles no signal.
        """
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def make_settings_document(settings: DaemonSettings) -> dict[str, object]:
    """Return settings as the document of a settings file."""
    return {
        'instance': settings.instance,
        'availability_zone': settings.availability_zone,
        'regions': dict(settings.regions),
        'listen': settings.listen,
        'ready': settings.ready,
        'directory': settings.directory,
        'peer': settings.peer,
        'metrics': settings.metrics,
        'store': settings.store,
        'memory_mb': settings.memory_mb,
        'max_fds': settings.max_fds,
    }
