"""Keep targets whose entries lapsed because the store was away."""

from collections.abc import Mapping

from currantspur.messages import Target, TargetsUpdate

# Entries that lapsed in an outage are written again within about two seconds
# of its end; the half second covers the way here.
REREGISTER_WINDOW_S = 2.5


class TargetRetention:
    """Merge the list of targets with those that may still come back."""

    __slots__ = ('listed', 'retain_until', 'retained')

    def __init__(self) -> None:
        self.listed: Mapping[str, Target] = {}
        self.retained: dict[str, Target] = {}
        self.retain_until = float('-inf')

    def update(self, seen: TargetsUpdate) -> None:
        """Take a new list; keep what vanished just after an outage."""
        self.retain_until = seen.outage_ended_at + REREGISTER_WINDOW_S
        if seen.read_at <= self.retain_until:
            for name, target in self.listed.items():
                if name not in seen.targets_by_name and not target.is_draining:
                    self.retained[name] = target
        self.listed = seen.targets_by_name
        for name in seen.targets_by_name:
            self.retained.pop(name, None)

    def current(self, at: float) -> dict[str, Target]:
        """Return all targets that may be there."""
        if at > self.retain_until:
            self.retained.clear()
        addresses = {target.address for target in self.listed.values()}
        kept = {
            name: target
            for name, target in self.retained.items()
            if target.address not in addresses
        }
        return {**kept, **self.listed}
