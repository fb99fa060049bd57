"""List the limits of a configuration and cap a plan by them."""

from collections.abc import Iterator
from math import floor

from currantspur.messages import (
    Allotment,
    Configuration,
    Message,
    Part,
    Plan,
    Region,
    name_link_limit,
    name_region_limit,
    name_slots_limit,
    name_team_limit,
)

BITS_PER_MBIT = 1_000_000
LINK_BURST_S = 0.25
# Parts are whole multiples of this power of two: their sums are exact.
GRAIN = 1_048_576


class Limit(Message):
    """Describe a total that instances of some availability zones share."""

    __slots__ = ('is_whole', 'name', 'total', 'zones')

    def __init__(
        self,
        *,
        name: str,
        total: Part,
        zones: tuple[str, ...] = (),
        is_whole: bool = False,
    ) -> None:
        """Take the zones of the holders (none: all) and if units are whole."""
        self.name = name
        self.total = total
        self.zones = zones
        self.is_whole = is_whole


def list_limits(configuration: Configuration) -> Iterator[Limit]:
    """Yield every limit; a region has one for each availability zone."""
    for team in configuration.teams:
        yield Limit(
            name=name_team_limit(team.name),
            total=Part(rate=team.rate, burst=team.burst),
        )
    for region in configuration.regions:
        yield from _split_region(region)
    yield from _list_links(configuration)
    without = _find_zones_without(configuration)
    for target in configuration.targets:
        yield Limit(
            name=name_slots_limit(target.name),
            total=Part(rate=0.0, burst=target.slots),
            zones=(target.availability_zone, *without[target.service]),
            is_whole=True,
        )


def total_limits(configuration: Configuration) -> dict[str, Part]:
    """Return the total of each limit by its name."""
    totals: dict[str, Part] = {}
    for limit in list_limits(configuration):
        so_far = totals.get(limit.name, Part(rate=0.0, burst=0.0))
        totals[limit.name] = Part(
            rate=so_far.rate + limit.total.rate,
            burst=so_far.burst + limit.total.burst,
        )
    return totals


def cap_plan(
    plan: Plan, configuration: Configuration, instance: str
) -> dict[str, Part]:
    """Return the parts of an instance, cut to the configured totals."""
    totals = total_limits(configuration)
    capped: dict[str, Part] = {}
    taken: dict[str, float] = {}
    for allotment in plan.allotments:
        name = allotment.limit
        total = totals.get(name)
        if total is None:
            continue
        before = taken.get(name, 0.0)
        taken[name] = before + allotment.part.burst
        if allotment.instance != instance:
            continue
        if total.rate:
            capped[name] = _scale(allotment, plan.totals.get(name), total)
        else:
            left = max(0.0, total.burst - before)
            burst = min(allotment.part.burst, left)
            capped[name] = Part(rate=0.0, burst=burst)
    return capped


def round_down(amount: float) -> float:
    """Round down to the grain in which parts are summed exactly."""
    return floor(amount * GRAIN) / GRAIN


def _scale(allotment: Allotment, planned: Part | None, total: Part) -> Part:
    part = allotment.part
    if planned is None:
        return Part(rate=0.0, burst=0.0)
    return Part(
        rate=_cut(part.rate, planned.rate, total.rate),
        burst=_cut(part.burst, planned.burst, total.burst),
    )


def _cut(amount: float, planned: float, total: float) -> float:
    if planned <= total:
        return amount
    return round_down(amount * total / planned)


def _split_region(region: Region) -> Iterator[Limit]:
    count = len(region.availability_zones)
    for zone in region.availability_zones:
        yield Limit(
            name=name_region_limit(region.name),
            total=Part(
                rate=round_down(region.intake_rate / count),
                burst=round_down(region.intake_burst / count),
            ),
            zones=(zone,),
        )


def _find_zones_without(
    configuration: Configuration,
) -> dict[str, tuple[str, ...]]:
    """Return by service the availability zones that have no target of it."""
    served: dict[str, set[str]] = {}
    for target in configuration.targets:
        served.setdefault(target.service, set()).add(target.availability_zone)
    zones = [
        zone
        for region in configuration.regions
        for zone in region.availability_zones
    ]
    return {
        service: tuple(zone for zone in zones if zone not in found)
        for service, found in served.items()
    }


def _list_links(configuration: Configuration) -> Iterator[Limit]:
    zones = {
        region.name: region.availability_zones
        for region in configuration.regions
    }
    for link in configuration.links:
        rate = link.mbit_s * BITS_PER_MBIT
        yield Limit(
            name=name_link_limit(link.origin, link.destination),
            total=Part(rate=rate, burst=rate * LINK_BURST_S),
            zones=zones.get(link.origin, ()),
        )
