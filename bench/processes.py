"""Start real daemons as plain processes and read what they spend."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from pathlib import Path
from uuid import uuid4

import aiohttp
import yaml
from aiohttp import web

from currantspur.decisions.operators import mint_operator_key
from currantspur.messages import Configuration
from currantspur.platform import Platform
from currantspur.settings import print_configuration, to_plain
from currantspur.standins import TargetStandin
from currantspur.standins.workloads import (
    Workload,
    describe_workload,
    name_targets,
)
from currantspur.wire.admin_client import AdminClient, AdminError
from currantspur.wire.platform_http import PlatformClient, open_platform

HOST = '127.0.0.1'
# Where processes take the package from, to measure an earlier commit.
SOURCE = 'BENCH_SOURCE'
HERE = str(Path(__file__).resolve().parent.parent / 'src')
APPLY_TRIES = 20
READY_TRIES = 600
READY_STEP_S = 0.05
STOP_S = 40.0
HURRY_S = 0.1
TICKS = os.sysconf('SC_CLK_TCK')
PAGE_KB = os.sysconf('SC_PAGE_SIZE') // 1024


class Process:
    """Hold one process of the project, to be ended by its id."""

    __slots__ = ('address', 'admin', 'name', 'popen')

    def __init__(self, name: str, words: list[str]) -> None:
        self.name = name
        self.address = ''
        self.admin = ''
        self.popen = subprocess.Popen(
            [sys.executable, '-m', 'currantspur', *words],
            env={**os.environ, 'PYTHONPATH': os.environ.get(SOURCE, HERE)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def spent_s(self) -> float:
        """Return the processor time spent since the start (seconds)."""
        words = self._stat()
        return (int(words[11]) + int(words[12])) / TICKS

    def resident_kb(self) -> int:
        """Return the resident memory (KB)."""
        return int(self._stat()[21]) * PAGE_KB

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    async def stop(self) -> int:
        """End the process gracefully, by force when that takes too long."""
        if self.popen.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
        try:
            return await asyncio.to_thread(self.popen.wait, STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return await asyncio.to_thread(self.popen.wait)

    async def end(self) -> int:
        """End the process without waiting for callers that may still come."""
        if self.popen.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
            await asyncio.sleep(HURRY_S)
        if self.popen.poll() is None:
            self.send(signal.SIGTERM)
        return await self.stop()

    def _stat(self) -> list[str]:
        path = Path(f'/proc/{self.popen.pid}/stat')
        return path.read_text(encoding='ascii').rpartition(')')[2].split()


class ProcessFleet:
    """Run a platform and entry daemons as processes, targets in this one."""

    __slots__ = (
        'daemons',
        'folder',
        'operator',
        'operator_key',
        'platform',
        'platform_address',
        'platform_process',
        'session',
        'stack',
        'targets',
        'version',
    )

    def __init__(self, stack: AsyncExitStack, folder: Path) -> None:
        self.stack = stack
        self.folder = folder
        self.daemons: list[Process] = []
        self.targets: dict[str, TargetStandin] = {}
        self.version = 0
        secret, kept = mint_operator_key('bench', 'change')
        self.operator = kept
        self.operator_key = secret
        self.platform: Platform
        self.platform_address = ''
        self.platform_process: Process
        self.session: aiohttp.ClientSession

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(),
        )
        self.platform_address = f'{HOST}:{find_port()}'
        words = ['standin', 'platform', '--listen', self.platform_address]
        self.platform_process = self.spawn('platform', words)
        await self._wait(f'http://{self.platform_address}/instances')
        client = PlatformClient(self.platform_address)
        self.stack.push_async_callback(client.close)
        self.platform = open_platform(client)

    async def open_targets(self, names: list[str]) -> dict[str, str]:
        """Serve a stand-in for each target and return the addresses."""
        addresses = {}
        for name in names:
            self.targets[name] = TargetStandin(name=name)
            runner = web.AppRunner(
                self.targets[name].application(), access_log=None
            )
            await runner.setup()
            self.stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, HOST, 0).start()
            addresses[name] = f'{HOST}:{runner.addresses[0][1]}'
        return addresses

    async def start_daemon(self, zone: str, **settings: object) -> Process:
        """Start an entry daemon and wait until it is live."""
        name = f'entry-{len(self.daemons) + 1}'
        listen, peer, admin = (f'{HOST}:{find_port()}' for _ in range(3))
        plain = {
            'instance': name,
            'availability_zone': zone,
            'listen': listen,
            'peer': peer,
            'admin': admin,
            'platform': self.platform_address,
            **settings,
        }
        if SOURCE not in os.environ:
            plain['operators'] = [self.operator]
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(to_plain(plain)))
        daemon = self.spawn(name, ['entry', '--settings', str(path)])
        daemon.address = listen
        daemon.admin = admin
        self.daemons.append(daemon)
        await self._wait(f'http://{admin}/live')
        return daemon

    def spawn(self, name: str, words: list[str]) -> Process:
        """Start a process that ends with this fleet."""
        process = Process(name, words)
        self.stack.push_async_callback(process.end)
        return process

    async def apply(self, configuration: Configuration) -> None:
        """Put a configuration into force as an operator would."""
        text = print_configuration(configuration)
        if SOURCE in os.environ:
            await self._publish(text)
            return
        async with AdminClient(
            self.daemons[0].admin, key=self.operator_key
        ) as client:
            for _ in range(APPLY_TRIES):
                if await self._change(client, text):
                    return
        raise TimeoutError('other changes kept coming first')

    async def wait_ready(self) -> None:
        """Wait until every daemon has a version in force."""
        for daemon in self.daemons:
            await self._wait(f'http://{daemon.admin}/ready')

    async def _change(self, client: AdminClient, text: str) -> bool:
        base = await client.get('/v1/configuration')
        change = {
            'text': text,
            'file': 'bench',
            'base_version': base['version'],
            'change_id': uuid4().hex,
        }
        try:
            await client.post('/v1/changes', change)
        except AdminError as error:
            if error.code != 'conflict':
                raise
            return False
        return True

    async def _publish(self, text: str) -> None:
        words = ['-m', 'bench.publishing', self.platform_address]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            str(self.version),
            stdin=asyncio.subprocess.PIPE,
            env={**os.environ, 'PYTHONPATH': f'{os.environ[SOURCE]}:.'},
        )
        await process.communicate(text.encode())
        if process.returncode:
            raise AssertionError('could not publish')
        self.version += 1

    async def _wait(self, url: str) -> None:
        for _ in range(READY_TRIES):
            if await self._is_served(url):
                return
            await asyncio.sleep(READY_STEP_S)
        raise TimeoutError(url)

    async def _is_served(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == HTTPStatus.OK
        except aiohttp.ClientError:
            return False


def find_port() -> int:
    """Return a port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


@asynccontextmanager
async def open_process_fleet(
    workload: Workload, zones: tuple[str, ...]
) -> AsyncGenerator[tuple[ProcessFleet, Configuration], None]:
    """Run a fleet of processes; yield it with its configuration, unapplied."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = ProcessFleet(stack, Path(folder))
        await fleet.start_platform()
        addresses = await fleet.open_targets(name_targets(workload))
        for zone in zones:
            await fleet.start_daemon(zone)
        yield fleet, describe_workload(workload, addresses)
