"""Run a fleet of processes under load and faults and check invariants."""

import asyncio
import tempfile
from collections import Counter
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

import aiohttp

from currantspur.platform import PLATFORM_NAMES
from currantspur.soak.fault import Fault
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
from currantspur.standins.behaviours import HEALTHY
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    find_free_address,
    make_settings,
)
from currantspur.wire.client_middleware import disable_automatic_retry

ZONES = ('north-1', 'north-2', 'south-1')
TARGETS_PER_ZONE = 2
CALLER_COUNT = 6
OBJECT_COUNT = 20
CALLER_TIMEOUT_S = 2.0
# Number of concurrent series of faults, and the range of the pause between two
# faults of a series.
CONCURRENT_FAULTS = 3
FAULT_PAUSE_RANGE_S = (0.05, 0.6)
# Processes start within a few seconds, also on a busy machine.
READY_TIMEOUT_S = 20.0
# Time in which the fleet must respond with success again once all faults are
# removed.
RECOVERY_TIMEOUT_S = 15.0
CONSECUTIVE_SUCCESSES = 20
POLL_INTERVAL_S = 0.05
CLIENT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class Soak:
    """The fleet under test, its processes and the records of callers."""

    __slots__ = (
        'call_records',
        'ended_processes',
        'fleet',
        'is_stopping',
        'processes',
        'proxies',
        'random',
        'requests_sent',
        'reserved_paths',
        'session',
        'stack',
        'target_places',
        'target_starts',
    )

    def __init__(self, stack: AsyncExitStack, seed: int) -> None:
        self.stack = stack
        # Zone and address of each target, by its name.
        self.target_places: dict[str, tuple[str, str]] = {}
        self.target_starts: Counter[str] = Counter()
        self.random = Random(seed)
        self.fleet = Fleet(stack)
        self.proxies: list[Proxy] = []
        self.processes: list[EntryProcess] = []
        # Settings paths identify the reserved processes.
        self.reserved_paths: set[str] = set()
        self.call_records: list[CallRecord] = []
        # Processes that ended though no fault ended them.
        self.ended_processes: list[Violation] = []
        self.requests_sent = 0
        self.is_stopping = False
        self.session: aiohttp.ClientSession | None = None

    async def open(self, folder: Path, *, instances_per_zone: int) -> None:
        """Start the store and targets, each behind a proxy, and all processes.

        Raise TimeoutError if an instance is not ready in READY_TIMEOUT_S.
        """
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S),
                middlewares=(disable_automatic_retry,),
            )
        )
        await self.fleet.open(zones=(), targets=())
        for zone in ZONES:
            for number in range(TARGETS_PER_ZONE):
                await self._open_target(f'target-{zone}-{number}', zone)
        proxy = await self.open_proxy(self.fleet.store.address)
        for zone, number in product(ZONES, range(instances_per_zone)):
            settings = make_settings(
                f'entry-{zone}-{number}', zone, proxy.address
            )
            process = EntryProcess(settings, folder)
            await process.start()
            self.stack.push_async_callback(process.stop)
            self.processes.append(process)
        await self._wait_until_ready()

    async def open_proxy(self, address: str) -> Proxy:
        """Start a proxy in front of an address."""
        proxy = Proxy(address=find_free_address(), upstream_address=address)
        await proxy.start()
        self.stack.push_async_callback(proxy.close)
        self.proxies.append(proxy)
        return proxy

    def register_target(self, name: str, **changes: Any) -> None:
        """Write the row of a target at its proxy; changes replace fields."""
        zone, address = self.target_places[name]
        row = {'born': self.target_starts[name], 'address': address, **changes}
        self.fleet.register_target(name, zone, **row)

    def register_restart(self, name: str) -> None:
        """Write the row of a target as after a restart under its name."""
        self.target_starts[name] += 1
        self.register_target(name)

    @asynccontextmanager
    async def reserve_process(
        self, random: Random
    ) -> AsyncGenerator[EntryProcess | None]:
        """Reserve a random instance so that its process faults do not overlap.

        Yield None if all instances are reserved.
        """
        free = [
            process
            for process in self.processes
            if str(process.settings_path) not in self.reserved_paths
        ]
        reserved = random.choice(free) if free else None
        if reserved is None:
            yield None
            return
        self.reserved_paths.add(str(reserved.settings_path))
        try:
            yield reserved
        finally:
            self.reserved_paths.discard(str(reserved.settings_path))

    async def inject_faults(self, random: Random) -> None:
        """Inject faults one after the other until the soak stops.

        Each kind comes once before any comes again.
        """
        waiting: list[Fault] = []
        while not self.is_stopping:
            waiting = waiting or random.sample(FAULTS, len(FAULTS))
            await waiting.pop().inject(self, random)
            await asyncio.sleep(random.uniform(*FAULT_PAUSE_RANGE_S))

    async def run_caller(self, random: Random) -> None:
        """Send requests to random instances until the soak stops.

        After a request without a response there is a short pause.
        """
        while not self.is_stopping:
            if not await self.send_request(random):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_request(self, random: Random) -> int:
        """Send a random request and record its result.

        Return the status, 0 where no response was received.
        """
        self.requests_sent += 1
        is_non_idempotent = bool(random.getrandbits(1))
        record = CallRecord(
            request_id=f'soak-{self.requests_sent}',
            is_non_idempotent=is_non_idempotent,
            status=0,
        )
        prefix = (
            NON_IDEMPOTENT_PREFIX if is_non_idempotent else IDEMPOTENT_PREFIX
        )
        process = random.choice(self.processes)
        url = f'http://{process.settings.listen}{prefix}{self.requests_sent}'
        await self._call_instance(
            record, url, str(random.randrange(OBJECT_COUNT))
        )
        self.call_records.append(record)
        return record.status

    async def check_recovery(self) -> list[Violation]:
        """Wait until requests succeed again and return all violations found.

        Call this after the faults are removed.
        """
        successes = 0
        deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_S
        while (
            successes < CONSECUTIVE_SUCCESSES
            and asyncio.get_running_loop().time() < deadline
        ):
            successes = (
                successes + 1
                if await self.send_request(self.random) == OK
                else 0
            )
        violations = self.ended_processes + list(
            check_invariants(self.call_records, self.fleet.targets.values())
        )
        if successes < CONSECUTIVE_SUCCESSES:
            violations.append(
                Violation(invariant='not served again', request_id='')
            )
        return violations

    async def _call_instance(
        self, record: CallRecord, url: str, object_key: str
    ) -> None:
        headers = {
            'Host': ROUTE_HOST,
            'Authorization': f'Bearer {API_KEY}',
            PLATFORM_NAMES.request_id_header: record.request_id,
            PLATFORM_NAMES.object_key_header: object_key,
        }
        if self.session is None:
            raise AssertionError('the soak must be opened first')
        try:
            async with self.session.get(url, headers=headers) as response:
                record.body = await response.read()
                echoed_id = response.headers.get(
                    PLATFORM_NAMES.request_id_header, ''
                )
                record.response_request_id = echoed_id
                record.status = response.status
        except CLIENT_ERRORS:
            # Status 0: the result is unknown. Callers do not retry, since the
            # count of executions of a request could not be checked then.
            record.status = 0

    async def _open_target(self, name: str, zone: str) -> None:
        target = await self.fleet.open_target(name, zone)
        proxy = await self.open_proxy(target.address)
        self.target_places[name] = (zone, proxy.address)
        self.register_target(name)

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for process in self.processes:
                while not await self._is_ready(process):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, process: EntryProcess) -> bool:
        if self.session is None:
            return False
        try:
            async with self.session.get(
                f'http://{process.settings.ready}{PLATFORM_NAMES.ready_path}'
            ) as response:
                return response.status == OK
        except CLIENT_ERRORS:
            return False


async def run_seed(
    seed: int, *, seconds: float, instances_per_zone: int = 1
) -> list[Violation]:
    """Run a soak for some seconds and return all violations found."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        soak = Soak(stack, seed)
        await soak.open(Path(folder), instances_per_zone=instances_per_zone)
        coroutines = [
            soak.inject_faults(Random(f'{seed} {number}'))
            for number in range(CONCURRENT_FAULTS)
        ]
        coroutines.extend(
            soak.run_caller(Random(f'{seed} caller {number}'))
            for number in range(CALLER_COUNT)
        )
        running_tasks = [
            asyncio.ensure_future(coroutine) for coroutine in coroutines
        ]
        await asyncio.sleep(seconds)
        await _stop_callers_and_faults(soak, running_tasks)
        return await soak.check_recovery()


async def _stop_callers_and_faults(
    soak: Soak, running_tasks: list['asyncio.Task[None]']
) -> None:
    # Callers and faults end by themselves once they see this.
    soak.is_stopping = True
    await asyncio.gather(*running_tasks)
    soak.fleet.store.change_failure_mode('none')
    for proxy in soak.proxies:
        proxy.failure_mode = 'none'
    for target in soak.fleet.targets.values():
        target.behaviour = HEALTHY
        target.extra_headers = ''
        target.pace_percent = None
    for process in soak.processes:
        if not process.is_running:
            soak.ended_processes.append(
                Violation(
                    invariant='a process ended by itself',
                    request_id=process.settings.instance,
                )
            )
        await process.stop()
        await process.start()
