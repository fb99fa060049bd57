"""Measure what control state and control messages cost as they grow."""

import gc
import time
import tracemalloc
from abc import abstractmethod
from collections.abc import Iterator

import orjson

from bench.case import Case, Figure
from currantspur.messages import (
    Configuration,
    Instance,
    Key,
    Region,
    Route,
    Target,
    Team,
)
from currantspur.settings import print_configuration, read_configuration
from currantspur.wire.platform_http import encode_instance

SMALL = 200
LARGE = 2_000
US_PER_S = 1_000_000
ZONES = tuple(f'region-{index % 3}-{index}' for index in range(12))


class SlopeCase(Case):
    """Read a configuration at two sizes and give the slope between them."""

    __slots__ = ()

    @abstractmethod
    def describe(self, count: int) -> Configuration:
        """Return a configuration with that many members."""

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield text, memory and processor time for each member."""
        small = measure_reading(self.describe(SMALL))
        large = measure_reading(self.describe(LARGE))
        for name, unit in (('text', 'B'), ('memory', 'B'), ('time', 'us')):
            slope = (large[name] - small[name]) / (LARGE - SMALL)
            yield Figure(name=f'{name} for each', reading=slope, unit=unit)


class TargetSlope(SlopeCase):
    """Grow the number of targets."""

    __slots__ = ()
    name = 'configuration by targets'

    def describe(self, count: int) -> Configuration:
        """Return a configuration with that many targets."""
        return describe_base(targets=count)


class TeamSlope(SlopeCase):
    """Grow the number of teams, each with two keys."""

    __slots__ = ()
    name = 'configuration by teams'

    def describe(self, count: int) -> Configuration:
        """Return a configuration with that many teams."""
        return describe_base(teams=count)


class InstanceSlope(Case):
    """Size the list of instances as the platform sends it."""

    __slots__ = ()
    name = 'membership by instances'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield the bytes of a member on the wire."""
        small, large = (
            len(orjson.dumps([encode_instance(one) for one in members]))
            for members in (list_instances(SMALL), list_instances(LARGE))
        )
        slope = (large - small) / (LARGE - SMALL)
        yield Figure(name='bytes for each', reading=slope, unit='B')


def describe_base(*, targets: int = 0, teams: int = 0) -> Configuration:
    """Return a configuration of three regions with so many members."""
    return Configuration(
        regions=tuple(
            Region(
                name=f'region-{number}',
                availability_zones=ZONES[number::3],
                intake_rate=1000.0,
                intake_burst=1000.0,
            )
            for number in range(3)
        ),
        routes=(Route(prefix='/status', service='status'),),
        targets=tuple(
            Target(
                name=f'status-{number}',
                service='status',
                address=f'127.0.0.1:{10_000 + number}',
                availability_zone=ZONES[number % len(ZONES)],
            )
            for number in range(targets)
        ),
        teams=tuple(
            Team(name=f'team-{number}', rate=10.0, burst=20.0)
            for number in range(teams)
        ),
        keys=tuple(
            Key(
                key_id=f'{number:015x}{half}',
                team=f'team-{number}',
                digest=f'{number:064x}',
            )
            for number in range(teams)
            for half in range(2)
        ),
    )


def measure_reading(configuration: Configuration) -> dict[str, float]:
    """Return bytes of text, bytes kept and microseconds to read it."""
    text = print_configuration(configuration)
    began = time.process_time()
    read_configuration(text)
    spent_us = (time.process_time() - began) * US_PER_S
    tracemalloc.start()
    kept = [read_configuration(text)]
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kept.clear()
    return {'text': len(text), 'memory': memory, 'time': spent_us}


def list_instances(count: int) -> list[Instance]:
    """Return that many instances."""
    return [
        Instance(
            name=f'entry-{number}',
            address=f'10.0.{number % 250}.{number % 200}:8001',
            peer=f'10.0.{number % 250}.{number % 200}:8002',
            availability_zone=ZONES[number % len(ZONES)],
        )
        for number in range(count)
    ]


CASES = (TargetSlope(), TeamSlope(), InstanceSlope())
