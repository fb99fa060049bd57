"""Describe the two workloads of today as configurations."""

from ipaddress import ip_network
from types import MappingProxyType
from typing import Final

from currantspur.messages import (
    Block,
    Configuration,
    Link,
    Message,
    Region,
    Route,
    Steering,
    Target,
    Team,
)
from currantspur.messages.configuration import Objective

REGIONS = ('north', 'central', 'south')
ZONES_PER_REGION = 2
TARGETS_PER_SERVICE = 12
TEAM_RATES = (120.0, 90.0, 60.0, 30.0, 20.0, 12.0, 8.0, 4.0)
BURST_S = 2.0
DEADLINE_S = 5.0
INTAKE_RATE = 400.0


class Workload(Message):
    """Name a customer's services and sizes."""

    __slots__ = (
        'connections',
        'link_mbit_s',
        'name',
        'objective',
        'services',
        'slots',
        'submission',
    )

    def __init__(
        self,
        *,
        name: str,
        services: tuple[str, ...],
        submission: str,
        slots: int,
        connections: int,
        link_mbit_s: float,
        objective: Objective,
    ) -> None:
        self.name = name
        self.services = services
        self.submission = submission
        self.slots = slots
        self.connections = connections
        self.link_mbit_s = link_mbit_s
        self.objective = objective


ETIQUETA_CLARA = Workload(
    name='etiqueta-clara',
    services=('status', 'submission', 'varieties', 'wording'),
    submission='submission',
    slots=3,
    connections=330,
    link_mbit_s=280.0,
    objective='fairness',
)
ZAYTOUNA = Workload(
    name='zaytouna',
    services=('standings', 'clocking', 'pedigree', 'velocity'),
    submission='clocking',
    slots=4,
    connections=360,
    link_mbit_s=4000.0,
    objective='latency',
)
WORKLOADS: Final = MappingProxyType(
    {one.name: one for one in (ETIQUETA_CLARA, ZAYTOUNA)}
)


def list_zones() -> tuple[str, ...]:
    """Return the availability zones, region by region."""
    return tuple(
        f'{region}-{index}'
        for region in REGIONS
        for index in range(1, ZONES_PER_REGION + 1)
    )


def describe_workload(
    workload: Workload, addresses: dict[str, str]
) -> Configuration:
    """Return a configuration; targets without an address are left out."""
    return Configuration(
        routes=tuple(_route(workload, name) for name in workload.services),
        teams=tuple(
            Team(name=f'team-{index}', rate=rate, burst=rate * BURST_S)
            for index, rate in enumerate(TEAM_RATES, start=1)
        ),
        targets=tuple(
            target
            for service in workload.services
            for target in _targets(workload, service, addresses)
        ),
        regions=tuple(_region(name) for name in REGIONS),
        links=tuple(
            Link(origin=one, destination=other, mbit_s=workload.link_mbit_s)
            for one in REGIONS
            for other in REGIONS
            if one != other
        ),
        blocks=tuple(
            Block(network=ip_network(f'10.{index}.0.0/16'), site=zone)
            for index, zone in enumerate(list_zones(), start=1)
        ),
        steering=Steering(objective=workload.objective),
    )


def name_targets(workload: Workload) -> list[str]:
    """Return the names of all targets of a workload."""
    return [
        f'{service}-{index}'
        for service in workload.services
        for index in range(1, TARGETS_PER_SERVICE + 1)
    ]


def _route(workload: Workload, service: str) -> Route:
    is_open = service == workload.services[2]
    return Route(
        prefix=f'/{service}',
        service=service,
        access='open' if is_open else 'keyed',
        idempotent=service != workload.submission,
        deadline_s=DEADLINE_S,
    )


def _targets(
    workload: Workload, service: str, addresses: dict[str, str]
) -> list[Target]:
    zones = list_zones()
    names = [f'{service}-{one + 1}' for one in range(TARGETS_PER_SERVICE)]
    return [
        Target(
            name=name,
            service=service,
            address=addresses[name],
            availability_zone=zones[index % len(zones)],
            slots=workload.slots,
            connections=workload.connections,
        )
        for index, name in enumerate(names)
        if name in addresses
    ]


def _region(name: str) -> Region:
    zones = range(1, ZONES_PER_REGION + 1)
    return Region(
        name=name,
        availability_zones=tuple(f'{name}-{index}' for index in zones),
        intake_rate=INTAKE_RATE,
        intake_burst=INTAKE_RATE,
    )
