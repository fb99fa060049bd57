"""Tell how far a target is, in seconds there and back."""

from collections.abc import Mapping

# From the brief: availability zones 4 to 5 ms apart, regions about 35 ms.
CROSS_ZONE_RTT_S = 0.01
CROSS_REGION_RTT_S = 0.07


class Topology:
    """Know where this instance is and which region each zone belongs to."""

    __slots__ = ('availability_zone', 'region', 'regions')

    def __init__(
        self, *, availability_zone: str, regions: Mapping[str, str]
    ) -> None:
        """Take the region of each availability zone."""
        self.availability_zone = availability_zone
        self.regions = regions
        self.region = self.find_region(availability_zone)

    def find_region(self, availability_zone: str) -> str:
        """Return the region of a zone; an unknown one is its own region."""
        return self.regions.get(availability_zone, availability_zone)

    def is_cross_region(self, availability_zone: str) -> bool:
        """Tell whether a zone lies in another region."""
        return self.find_region(availability_zone) != self.region

    def round_trip_s(self, availability_zone: str) -> float:
        """Return the seconds to a zone and back."""
        if availability_zone == self.availability_zone:
            return 0.0
        return (
            CROSS_REGION_RTT_S
            if self.is_cross_region(availability_zone)
            else CROSS_ZONE_RTT_S
        )
