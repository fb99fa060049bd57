"""Decide whether a request may cross to another region."""

from collections.abc import Mapping

from currantspur.decisions.holdings import Holdings
from currantspur.messages import Configuration, name_link_limit

BITS_PER_BYTE = 8


class LinkBudget:
    """Spend this instance's parts of the links that leave its region."""

    __slots__ = ('availability_zone', 'holdings', 'regions')

    def __init__(self, *, availability_zone: str, holdings: Holdings) -> None:
        self.availability_zone = availability_zone
        self.holdings = holdings
        self.regions: Mapping[str, str] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the regions of a version."""
        self.regions = {
            zone: region.name
            for region in configuration.regions
            for zone in region.availability_zones
        }

    def find_limit(self, availability_zone: str) -> str | None:
        """Return the limit of the link to a zone; None inside the region."""
        origin = self.regions.get(self.availability_zone)
        destination = self.regions.get(availability_zone)
        if origin is None or destination in {None, origin}:
            return None
        return name_link_limit(origin, str(destination))

    def may_cross(self, availability_zone: str, at: float) -> bool:
        """Tell whether the link to a zone has bits left to spend."""
        limit = self.find_limit(availability_zone)
        return limit is None or self.holdings.count(limit, at) > 0

    def charge(self, availability_zone: str, sent: int, at: float) -> None:
        """Spend the bytes sent; what is not there is owed."""
        limit = self.find_limit(availability_zone)
        if limit is not None:
            self.holdings.charge(limit, at, sent * BITS_PER_BYTE)
