"""Run a small fleet in one process: a store, targets and instances."""

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack, closing
from itertools import cycle
from random import Random
from types import MappingProxyType
from typing import Any, Final

from currantspur.daemon import Daemon
from currantspur.messages.limits import FleetLimits
from currantspur.settings import DaemonSettings
from currantspur.standins.behaviours import HEALTHY, Behaviour
from currantspur.standins.store import StoreStandin
from currantspur.standins.target import TargetStandin
from currantspur.tasks import LineSink

ROUTE_HOST: Final = 'service.example'
IDEMPOTENT_PREFIX: Final = '/things/'
NON_IDEMPOTENT_PREFIX: Final = '/orders/'
API_KEY: Final = 'key-of-one'
TEAM: Final = 'one'
REGIONS: Final = MappingProxyType(
    {'north-1': 'north', 'north-2': 'north', 'south-1': 'south'}
)
Fields = dict[str, Any]
WAIT_TIMEOUT_S = 5.0
LOOPBACK_IP: Final = '127.0.0.1'
FIRST_PORT, END_PORT = 20_000, 32_000
# END_PORT is excluded. The first port is derived from the process id, so that
# processes running at the same time begin at different ports.
PORTS: Final = cycle(
    range(FIRST_PORT + os.getpid() % (END_PORT - FIRST_PORT), END_PORT)
)
POLL_INTERVAL_S = 0.01


class ListSink(LineSink):
    """Keep log lines in memory, oldest first."""

    __slots__ = ('lines',)

    def __init__(self) -> None:
        self.lines: list[tuple[str, Fields]] = []

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Append a line with its fields."""
        self.lines.append((kind, fields))

    def count_outcome(self, kind: str, outcome: str) -> None:
        """Do nothing; only lines are kept."""

    def fields_of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the fields of all lines of a kind, oldest first."""
        return [fields for line_kind, fields in self.lines if line_kind == kind]


class Fleet:
    """A store, targets and instances that are closed by an exit stack."""

    __slots__ = (
        'configuration_version',
        'daemons',
        'sinks',
        'stack',
        'store',
        'targets',
    )

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.store = StoreStandin()
        self.daemons: dict[str, Daemon] = {}
        self.sinks: dict[str, ListSink] = {}
        self.targets: dict[str, TargetStandin] = {}
        self.configuration_version = 0

    async def open(
        self,
        *,
        zones: tuple[str, ...] = ('north-1',),
        targets: tuple[str, ...] = ('north-1', 'north-1'),
    ) -> None:
        """Start the store, targets and instances.

        `zones` has the availability zone of each instance, `targets` that of
        each target. Return when all instances have the configuration and all
        targets.
        """
        store_address = find_free_address()
        await self.store.start(store_address)
        self.stack.push_async_callback(self.store.close)
        self.configure()
        for number, zone in enumerate(targets):
            await self.open_target(f'target-{number}', zone)
        for number, zone in enumerate(zones):
            await self.open_daemon(f'entry-{number}', zone, store_address)
        await wait_until(self.is_up_to_date)

    def is_up_to_date(self) -> bool:
        """Return whether all instances have the newest version and targets."""
        # Instances without targets are not ready and so not live members.
        expected = len(self.daemons) if self.targets else 0
        return all(
            daemon.admission.state.version == self.configuration_version
            and len(daemon.dispatcher.target_states) == len(self.targets)
            and len(daemon.membership.live_names) == expected
            for daemon in self.daemons.values()
        )

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration.

        Keywords are resource names, values the fields of `spec` to replace.
        """
        self.configuration_version += 1
        document = describe_configuration(self.configuration_version)
        for resource in document['resource_list']:
            name = resource['metadata']['name']
            resource['spec'].update(changes.get(name, {}))
        self.store.put('op', 'config', document)

    async def open_target(
        self,
        name: str,
        zone: str,
        behaviour: Behaviour = HEALTHY,
        **options: Any,
    ) -> TargetStandin:
        """Start a target and write its row; options go to TargetStandin."""
        target = TargetStandin(
            name=name,
            address=find_free_address(),
            behaviour=behaviour,
            **options,
        )
        await target.start()
        self.stack.push_async_callback(target.close)
        self.targets[name] = target
        self.register_target(name, zone)
        return target

    def register_target(
        self, name: str, zone: str, *, slots: int | None = None, **changes: Any
    ) -> None:
        """Write the row of a target; changes replace fields of it.

        By default it states the slots that the target has.
        """
        target = self.targets[name]
        row = {
            'service': 'things',
            'address': target.address,
            'zone': zone,
            'config_version': 'v1',
            'capacity_slots': slots or target.slots,
            'state': 'ready',
            'cold_remaining_s': 0,
            'sequence': 1,
            **changes,
        }
        self.store.put('servers', name, row)

    async def open_daemon(
        self, name: str, zone: str, store_address: str
    ) -> Daemon:
        """Start an instance; its random numbers are seeded by its name."""
        settings = make_settings(name, zone, store_address)
        sink = ListSink()
        daemon = Daemon(settings, sink=sink, random=Random(name))
        await daemon.start()
        self.stack.push_async_callback(daemon.stop_now)
        self.daemons[name] = daemon
        self.sinks[name] = sink
        return daemon


def make_settings(name: str, zone: str, store_address: str) -> DaemonSettings:
    """Return settings of an instance with free loopback addresses."""
    return DaemonSettings(
        instance=name,
        availability_zone=zone,
        regions=REGIONS,
        listen=find_free_address(),
        ready=find_free_address(),
        directory=find_free_address(),
        peer=find_free_address(),
        metrics=find_free_address(),
        store=store_address,
        limits=FleetLimits(),
    )


def describe_configuration(version: int) -> dict[str, Any]:
    """Return a configuration in the format of the platform's store.

    Times are in seconds.
    """
    route = {
        'hostname': ROUTE_HOST,
        'service': 'things',
        'timeout_s': 1,
        'target_latency_s': 0.1,
        'max_attempts': 2,
        'priority': 1,
        'session_affinity': True,
        'home_regions': [],
    }
    return {
        'config_version': version,
        'resource_list': [
            {
                'resource_kind': 'routes',
                'metadata': {'name': 'repeat'},
                'spec': {
                    **route,
                    'prefix': IDEMPOTENT_PREFIX,
                    'route_kind': 'idempotent',
                },
            },
            {
                'resource_kind': 'routes',
                'metadata': {'name': 'once'},
                'spec': {
                    **route,
                    'prefix': NON_IDEMPOTENT_PREFIX,
                    'route_kind': 'non_idempotent',
                },
            },
            {
                'resource_kind': 'services',
                'metadata': {'name': 'things'},
                'spec': {
                    'health_path': '/health',
                    'max_conns': 100,
                    'cold_start_s': 1,
                    'cold_per_s': 5,
                },
            },
            {
                'resource_kind': 'tenants',
                'metadata': {'name': TEAM},
                'spec': {
                    'api_keys': [API_KEY],
                    'rate_per_s': 1000,
                    'burst': 100,
                },
            },
            {
                'resource_kind': 'limits',
                'metadata': {'name': 'limits'},
                'spec': {'max_body_bytes': 4096},
            },
        ],
    }


def find_free_address() -> str:
    """Return `host:port` on loopback with a free port.

    Ports are below the range that the system uses for outgoing connections, so
    that none of these takes the port before it is used.
    """
    while True:
        port = next(PORTS)
        with closing(socket.socket()) as probe:
            # An error code, not 0, means that nothing listens at the port.
            if probe.connect_ex((LOOPBACK_IP, port)):
                return f'{LOOPBACK_IP}:{port}'


async def wait_until(is_true: Callable[[], bool]) -> None:
    """Poll a condition until it is true; raise TimeoutError after 5 s."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(POLL_INTERVAL_S)
