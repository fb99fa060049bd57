"""Run a fleet of processes under faults and load, and check it."""

import asyncio
import tempfile
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

import aiohttp

from currantspur.platform import PLATFORM_NAMES
from currantspur.soak.faults import FAULTS
from currantspur.soak.invariants import (
    OK,
    CallRecord,
    Violation,
    check_invariants,
)
from currantspur.soak.processes import EntryProcess
from currantspur.soak.proxy import Proxy
from currantspur.standins import Fleet
from currantspur.standins.fleet import (
    HOST,
    IDEMPOTENT_PREFIX,
    KEY,
    NON_IDEMPOTENT_PREFIX,
    find_free_address,
    make_settings,
)
from currantspur.standins.target import HEALTHY
from currantspur.wire.client_middleware import disable_automatic_retry

ZONES = ('north-1', 'north-2', 'south-1')
TARGETS_PER_ZONE = 2
CALLERS = 6
OBJECTS = 20
CALLER_S = 2.0
# Faults that overlap, and the pause between two of a series.
CONCURRENT_FAULTS = 3
PAUSE_S = (0.05, 0.6)
# Processes start within seconds also on a busy machine.
READY_S = 20.0
# All is mended; the fleet has this long to serve everyone again.
RECOVERY_S = 15.0
CONSECUTIVE_SUCCESSES = 20
LOOK_S = 0.05
FAILURES = (aiohttp.ClientError, OSError, TimeoutError)


class Soak:
    """Hold the fleet, its processes and what callers saw."""

    __slots__ = (
        'call_records',
        'fleet',
        'is_over',
        'number',
        'processes',
        'proxies',
        'random',
        'reserved',
        'session',
        'stack',
    )

    def __init__(self, stack: AsyncExitStack, seed: int) -> None:
        self.stack = stack
        self.random = Random(seed)
        self.fleet = Fleet(stack)
        self.proxies: list[Proxy] = []
        self.processes: list[EntryProcess] = []
        self.reserved: set[str] = set()
        self.call_records: list[CallRecord] = []
        self.number = 0
        self.is_over = False
        self.session: aiohttp.ClientSession | None = None

    async def open(self, folder: Path) -> None:
        """Start the store, targets behind proxies, and all processes."""
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=CALLER_S),
                middlewares=(disable_automatic_retry,),
            )
        )
        await self.fleet.open(zones=(), targets=())
        for zone in ZONES:
            for number in range(TARGETS_PER_ZONE):
                await self._open_target(f'target-{zone}-{number}', zone)
        proxy = await self.open_proxy(self.fleet.store.address)
        for zone in ZONES:
            settings = make_settings(f'entry-{zone}', zone, proxy.address)
            process = EntryProcess(settings, folder)
            await process.start()
            self.stack.push_async_callback(process.end)
            self.processes.append(process)
        await self._wait_until_ready()

    async def open_proxy(self, address: str) -> Proxy:
        """Put a proxy before an address."""
        proxy = Proxy(address=find_free_address(), upstream_address=address)
        await proxy.start()
        self.stack.push_async_callback(proxy.close)
        self.proxies.append(proxy)
        return proxy

    @asynccontextmanager
    async def reserve_process(
        self, random: Random
    ) -> AsyncGenerator[EntryProcess | None]:
        """Hold an instance so that faults of processes do not overlap on it."""
        free = [
            one for one in self.processes if str(one.file) not in self.reserved
        ]
        taken = random.choice(free) if free else None
        if taken is None:
            yield None
            return
        self.reserved.add(str(taken.file))
        try:
            yield taken
        finally:
            self.reserved.discard(str(taken.file))

    async def inject_faults(self, random: Random) -> None:
        """Strike faults one after the other until it is over."""
        while not self.is_over:
            await random.choice(FAULTS).inject(self, random)
            await asyncio.sleep(random.uniform(*PAUSE_S))

    async def run_caller(self, random: Random) -> None:
        """Send requests to any instance until it is over."""
        while not self.is_over:
            if not await self.send(random):
                await asyncio.sleep(LOOK_S)

    async def send(self, random: Random) -> int:
        """Send a request and keep what came of it; return its status."""
        self.number += 1
        is_once = bool(random.getrandbits(1))
        sent = CallRecord(
            request_id=f'soak-{self.number}',
            is_non_idempotent=is_once,
            status=0,
        )
        prefix = NON_IDEMPOTENT_PREFIX if is_once else IDEMPOTENT_PREFIX
        process = random.choice(self.processes)
        url = f'http://{process.settings.listen}{prefix}{self.number}'
        await self._exchange(sent, url, str(random.randrange(OBJECTS)))
        self.call_records.append(sent)
        return sent.status

    async def recover(self) -> list[Violation]:
        """Wait until everyone is served again; return what was broken."""
        calm = 0
        end = asyncio.get_running_loop().time() + RECOVERY_S
        while (
            calm < CONSECUTIVE_SUCCESSES
            and asyncio.get_running_loop().time() < end
        ):
            calm = calm + 1 if await self.send(self.random) == OK else 0
        found = list(
            check_invariants(self.call_records, self.fleet.targets.values())
        )
        if calm < CONSECUTIVE_SUCCESSES:
            found.append(Violation(invariant='not served again', request_id=''))
        return found

    async def _exchange(
        self, sent: CallRecord, url: str, object_key: str
    ) -> None:
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            PLATFORM_NAMES.request_id_header: sent.request_id,
            PLATFORM_NAMES.object_key_header: object_key,
        }
        if self.session is None:
            raise AssertionError('the soak was opened')
        try:
            async with self.session.get(url, headers=headers) as response:
                sent.body = await response.read()
                echoed = response.headers.get(
                    PLATFORM_NAMES.request_id_header, ''
                )
                sent.response_request_id = echoed
                sent.status = response.status
        except FAILURES:
            # What callers cannot tell is 0; retries would blur what ran.
            sent.status = 0

    async def _open_target(self, name: str, zone: str) -> None:
        target = await self.fleet.open_target(name, zone)
        proxy = await self.open_proxy(target.address)
        self.fleet.register_target(name, zone, address=proxy.address)

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_S):
            for process in self.processes:
                while not await self._is_ready(process):
                    await asyncio.sleep(LOOK_S)

    async def _is_ready(self, process: EntryProcess) -> bool:
        if self.session is None:
            return False
        try:
            async with self.session.get(
                f'http://{process.settings.ready}{PLATFORM_NAMES.ready_path}'
            ) as response:
                return response.status == OK
        except FAILURES:
            return False


async def run_seed(seed: int, *, seconds: float) -> list[Violation]:
    """Play one seed; return every promise that was broken."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        soak = Soak(stack, seed)
        await soak.open(Path(folder))
        works = [
            soak.inject_faults(Random(f'{seed} {one}'))
            for one in range(CONCURRENT_FAULTS)
        ]
        works.extend(
            soak.run_caller(Random(f'{seed} caller {one}'))
            for one in range(CALLERS)
        )
        running = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(seconds)
        await _mend(soak, running)
        return await soak.recover()


async def _mend(soak: Soak, running: list['asyncio.Task[None]']) -> None:
    soak.is_over = True
    await asyncio.gather(*running)
    soak.fleet.store.change_failure_mode('none')
    for proxy in soak.proxies:
        proxy.failure_mode = 'none'
    for target in soak.fleet.targets.values():
        target.behaviour = HEALTHY
    for process in soak.processes:
        await process.end()
        await process.start()
