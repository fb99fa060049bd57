"""The evacuated availability zones, also when the store returns to a copy."""

from currantspur.messages import EvacuationsUpdate
from currantspur.messages.revisions import NO_REVISION, get_era
from currantspur.messages.table_updates import NEVER

# Operators write again what a copy lacks within about two seconds.
REWRITE_WINDOW_S = 2.5


class EvacuatedZones:
    """The listed zones, and those that a copy lacks for REWRITE_WINDOW_S."""

    __slots__ = ('listed', 'retained', 'retained_until', 'revision')

    def __init__(self) -> None:
        self.listed: frozenset[str] = frozenset()
        self.retained: frozenset[str] = frozenset()
        self.retained_until = NEVER
        self.revision = NO_REVISION

    def update(self, latest: EvacuationsUpdate) -> None:
        """Replace the listed zones."""
        if 0 <= get_era(self.revision) < get_era(latest.revision):
            self.retained |= self.listed
            self.retained_until = latest.read_at + REWRITE_WINDOW_S
        self.listed = latest.availability_zones
        self.revision = latest.revision
        # One that is listed again may be taken back at any time.
        self.retained -= self.listed

    def current(self, at: float) -> frozenset[str]:
        """Return the zones whose targets get no requests."""
        if self.has_expired(at):
            self.retained = frozenset()
        return self.listed | self.retained

    def has_expired(self, at: float) -> bool:
        """Tell whether zones are retained no longer."""
        return bool(self.retained) and at > self.retained_until
