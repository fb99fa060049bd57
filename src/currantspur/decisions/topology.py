"""Regions of availability zones and round trip times to them."""

from collections.abc import Mapping

# Round trips for the specified one-way delays: 4 to 5 ms between availability
# zones, about 35 ms between regions.
CROSS_ZONE_RTT_S = 0.01
CROSS_REGION_RTT_S = 0.07


class Topology:
    """The availability zones and regions as seen from this instance."""

    __slots__ = ('availability_zone', 'region', 'region_by_zone')

    def __init__(
        self, *, availability_zone: str, region_by_zone: Mapping[str, str]
    ) -> None:
        """Start with the own zone and a mapping from zones to regions."""
        self.availability_zone = availability_zone
        self.region_by_zone = region_by_zone
        self.region = self.find_region(availability_zone)

    def find_region(self, availability_zone: str) -> str:
        """Return the region of a zone; an unknown one is its own region."""
        return self.region_by_zone.get(availability_zone, availability_zone)

    def is_cross_region(self, availability_zone: str) -> bool:
        """Tell whether a zone is in another region than this instance."""
        # As find_region(), without the call: asked for each target compared.
        region = self.region_by_zone.get(availability_zone, availability_zone)
        return region != self.region

    def round_trip_s(self, availability_zone: str) -> float:
        """Return the assumed seconds to a zone and back; 0 in the own zone."""
        if availability_zone == self.availability_zone:
            return 0.0
        return (
            CROSS_REGION_RTT_S
            if self.is_cross_region(availability_zone)
            else CROSS_ZONE_RTT_S
        )
