"""Keep targets whose entries lapsed because the store was away."""

from collections.abc import Mapping

from currantspur.messages import Target, TargetsSeen

# Entries that lapsed in an outage are written again within about two seconds
# of its end; the half second covers the way here.
RETURN_S = 2.5


class Lapses:
    """Merge the list of targets with those that may still come back."""

    __slots__ = ('lapsed', 'listed', 'until')

    def __init__(self) -> None:
        self.listed: Mapping[str, Target] = {}
        self.lapsed: dict[str, Target] = {}
        self.until = float('-inf')

    def accept(self, seen: TargetsSeen) -> None:
        """Take a new list; keep what vanished just after an outage."""
        self.until = seen.outage_ended_at + RETURN_S
        if seen.at <= self.until:
            for name, target in self.listed.items():
                if name not in seen.by_name and not target.is_leaving:
                    self.lapsed[name] = target
        self.listed = seen.by_name
        for name in seen.by_name:
            self.lapsed.pop(name, None)

    def current(self, at: float) -> dict[str, Target]:
        """Return all targets that may be there."""
        if at > self.until:
            self.lapsed.clear()
        addresses = {target.address for target in self.listed.values()}
        kept = {
            name: target
            for name, target in self.lapsed.items()
            if target.address not in addresses
        }
        return {**kept, **self.listed}
