"""Spread the callers of a place over entry instances."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.messages import Configuration, Entry, Flows, Instance

Holders = Mapping[str, float]
LEAST_WEIGHT = 0.0005
WEIGHT_DIGITS = 4


class Spread:
    """Turn flows between zones into weights of instances."""

    __slots__ = ('flows', 'gone', 'holders', 'instances', 'regions')

    def __init__(self) -> None:
        self.flows: Flows = {}
        self.holders: dict[str, Holders] = {}
        self.instances: dict[str, list[Instance]] = {}
        self.gone: dict[str, list[Instance]] = {}
        self.regions: dict[str, str] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the regions of a version."""
        self.regions = {
            zone: region.name
            for region in configuration.regions
            for zone in region.availability_zones
        }

    def replace(self, instances: Iterable[Instance]) -> None:
        """Take the members; leaving ones get no callers."""
        before = {**self.gone, **self.instances}
        self.instances = {}
        listed = set()
        for each in instances:
            zone = each.availability_zone
            listed.add(zone)
            if each.state == 'live':
                self.instances.setdefault(zone, []).append(each)
        self.gone = {
            zone: known for zone, known in before.items() if zone not in listed
        }

    def known(self, zone: str) -> list[Instance]:
        """Return a zone's instances, or its last ones if all vanished."""
        return self.instances.get(zone) or self.gone.get(zone, [])

    def choose(self, origin: str | None, team: str | None) -> tuple[Entry, ...]:
        """Return weighted entries for callers of a zone."""
        holders = self.holders.get(team or '', {})
        weights: dict[str, float] = {}
        for zone, share in self.share_zones(origin).items():
            for name, part in self._split(zone, share, holders):
                weights[name] = weights.get(name, 0.0) + part
        return tuple(
            _describe(each, weights[each.name])
            for zone in sorted(self.instances.keys() | self.gone.keys())
            for each in self.known(zone)
            if weights.get(each.name, 0.0) >= LEAST_WEIGHT
        )

    def share_zones(self, origin: str | None) -> dict[str, float]:
        """Return the share of each zone that has instances, summing to 1."""
        flow = self.flows.get(origin or '', {})
        shares = {
            zone: share
            for zone, share in flow.items()
            if share > 0 and self.known(zone)
        }
        total = sum(shares.values())
        if total <= 0:
            return self._share_nearest(origin)
        return {zone: share / total for zone, share in shares.items()}

    def distance(self, origin: str | None, zone: str) -> int:
        """Return 0 for the same zone, 1 for the same region, else 2."""
        if origin is None or zone == origin:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(origin) else 2

    def _share_nearest(self, origin: str | None) -> dict[str, float]:
        ranked = {zone: self.distance(origin, zone) for zone in self.instances}
        if not ranked:
            return {}
        nearest = min(ranked.values())
        zones = [zone for zone, rank in ranked.items() if rank == nearest]
        total = sum(len(self.instances[zone]) for zone in zones)
        return {zone: len(self.instances[zone]) / total for zone in zones}

    def _split(
        self, zone: str, share: float, holders: Holders
    ) -> Iterator[tuple[str, float]]:
        region = self.regions.get(zone)
        near = [zone] if self._hold_any(zone, holders) else self._region(region)
        parts = {
            each.name: holders[each.name]
            for one in near
            for each in self.known(one)
            if holders.get(each.name, 0.0) > 0
        }
        if not parts:
            parts = {each.name: 1.0 for each in self.known(zone)}
        total = sum(parts.values())
        for name, part in parts.items():
            yield name, share * part / total

    def _hold_any(self, zone: str, holders: Holders) -> bool:
        return any(holders.get(each.name, 0.0) > 0 for each in self.known(zone))

    def _region(self, region: str | None) -> list[str]:
        return [zone for zone, name in self.regions.items() if name == region]


def _describe(instance: Instance, weight: float) -> Entry:
    return Entry(
        instance=instance.name,
        address=instance.address,
        availability_zone=instance.availability_zone,
        weight=round(weight, WEIGHT_DIGITS),
    )
