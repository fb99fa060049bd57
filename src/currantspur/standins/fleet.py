"""Run a whole fleet on loopback in one process."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack

from aiohttp import web

from currantspur.daemon import Daemon
from currantspur.decisions.operators import mint_operator_key
from currantspur.messages import (
    Configuration,
    Part,
    name_region_limit,
    name_team_limit,
)
from currantspur.platform import Platform
from currantspur.settings import DaemonSettings
from currantspur.standins.faults import FaultTable
from currantspur.standins.operator import OperatorStandin
from currantspur.standins.platform import PlatformStandin
from currantspur.standins.store import open_memory_platform
from currantspur.standins.target import TargetStandin
from currantspur.tasks.clock import SystemClock

HOST = '127.0.0.1'
# Parts grow once no instance can still use an older plan.
LONGEST_SETTLE_S = 30.0
STEP_S = 0.05
NEARLY_ALL = 0.99
# Buckets start empty.
EARN_S = 1.0


class Fleet:
    """Hold a platform, targets and entry instances in one process."""

    __slots__ = (
        'daemons',
        'faults',
        'operator',
        'operator_key',
        'platform',
        'reader',
        'stack',
        'targets',
    )

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.platform: Platform = open_memory_platform()
        self.targets: dict[str, TargetStandin] = {}
        self.daemons: list[Daemon] = []
        self.faults = FaultTable(SystemClock())
        secret, kept = mint_operator_key('demo', 'read')
        self.operator_key = secret
        self.reader = kept
        self.operator = OperatorStandin(self.platform, name='demo')
        stack.push_async_callback(self.operator.close)

    async def serve(self, application: web.Application) -> str:
        """Serve at a free port and return the address."""
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, HOST, 0).start()
        return f'{HOST}:{runner.addresses[0][1]}'

    async def open_targets(self, names: list[str]) -> dict[str, str]:
        """Start a stand-in for each target and return the addresses."""
        addresses = {}
        for name in names:
            self.targets[name] = TargetStandin(name=name)
            application = self.targets[name].application()
            addresses[name] = await self.serve(application)
        return addresses

    async def open_daemons(self, zones: tuple[str, ...]) -> None:
        """Start an entry instance in each availability zone named."""
        address = await self.serve(
            PlatformStandin(self.platform, self.faults).application(),
        )
        for index, zone in enumerate(zones, start=1):
            settings = DaemonSettings(
                instance=f'entry-{index}',
                availability_zone=zone,
                listen=await self.find_free_address(),
                peer=await self.find_free_address(),
                admin=await self.find_free_address(),
                platform=address,
                operators=(self.reader,),
            )
            daemon = Daemon(settings)
            await daemon.start()
            self.stack.push_async_callback(daemon.stop)
            self.daemons.append(daemon)

    async def find_free_address(self) -> str:
        """Return an address that nobody listens at."""
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return f'{HOST}:{port}'

    async def apply(self, configuration: Configuration) -> None:
        """Publish a configuration; wait until it and its parts are in force."""
        head = await self.operator.apply(configuration)
        async with asyncio.timeout(LONGEST_SETTLE_S):
            while not self._is_settled(configuration, head.version):
                await asyncio.sleep(STEP_S)
        await asyncio.sleep(EARN_S)

    async def count_runs(self, key: str) -> int:
        """Return how often a submission ran on all targets together."""
        return sum(target.runs[key] for target in self.targets.values())

    def _is_settled(self, configuration: Configuration, version: int) -> bool:
        followers = [daemon.control.follower for daemon in self.daemons]
        if any(follower.version < version for follower in followers):
            return False
        told = [daemon.limits.allotment.told for daemon in self.daemons]
        parts = [one.by_limit for one in told if one is not None]
        return all(
            sum_rates(parts, limit) >= NEARLY_ALL * rate
            for limit, rate in self._list_limits(configuration)
        )

    def _list_limits(
        self, configuration: Configuration
    ) -> Iterator[tuple[str, float]]:
        for team in configuration.teams:
            yield name_team_limit(team.name), team.rate
        served = {daemon.settings.availability_zone for daemon in self.daemons}
        for region in configuration.regions:
            zones = set(region.availability_zones)
            # A zone without instances keeps its share of the region's limit.
            share = len(served & zones) / max(1, len(zones))
            yield name_region_limit(region.name), share * region.intake_rate


def sum_rates(parts: Iterable[dict[str, Part]], limit: str) -> float:
    """Return the tokens a second that instances hold of a limit together."""
    return sum(by_limit[limit].rate for by_limit in parts if limit in by_limit)
