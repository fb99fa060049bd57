"""Choose the entry instances that a client should use."""

from collections.abc import Iterable
from ipaddress import ip_address

from currantspur.messages import (
    Block,
    Configuration,
    Entry,
    Instance,
    LookupAnswer,
)


class EntryTable:
    """Answer look-ups from blocks, regions and the list of instances."""

    __slots__ = ('blocks', 'cache_s', 'instances', 'regions')

    def __init__(self) -> None:
        self.blocks: tuple[Block, ...] = ()
        self.regions: dict[str, str] = {}
        self.cache_s = 1.0
        self.instances: tuple[Instance, ...] = ()

    def configure(self, configuration: Configuration) -> None:
        """Take the blocks, regions and cache time of a version."""
        longest_first = sorted(
            configuration.blocks, key=lambda block: -block.network.prefixlen
        )
        self.blocks = tuple(longest_first)
        self.cache_s = configuration.steering.cache_s
        self.regions = {
            zone: region.name
            for region in configuration.regions
            for zone in region.availability_zones
        }

    def replace(self, instances: Iterable[Instance]) -> None:
        """Take the members; leaving ones are no longer answered."""
        self.instances = tuple(
            instance for instance in instances if instance.state == 'live'
        )

    def find_site(self, client: str) -> str | None:
        """Return the site of the longest block that holds a client."""
        address = ip_address(client)
        for block in self.blocks:
            if address in block.network:
                return block.site
        return None

    def answer(self, client: str) -> LookupAnswer:
        """Return the entries of the nearest availability zone that has any."""
        site = self.find_site(client)
        ranked = sorted({self._distance(site, one) for one in self.instances})
        nearest = [
            instance
            for instance in self.instances
            if ranked and self._distance(site, instance) == ranked[0]
        ]
        entries = tuple(
            Entry(
                instance=instance.name,
                address=instance.address,
                availability_zone=instance.availability_zone,
                weight=1 / len(nearest),
            )
            for instance in nearest
        )
        return LookupAnswer(entries=entries, cache_s=self.cache_s, site=site)

    def _distance(self, site: str | None, instance: Instance) -> int:
        zone = instance.availability_zone
        if site is None or zone == site:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(site) else 2
