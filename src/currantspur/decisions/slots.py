"""Choose a target and count the slots in use."""

from currantspur.decisions.drains import is_draining
from currantspur.messages import Configuration, Target


class SlotTable:
    """Count the requests that each target runs for this instance."""

    __slots__ = ('availability_zone', 'configuration', 'running', 'targets')

    def __init__(self, *, availability_zone: str) -> None:
        self.availability_zone = availability_zone
        self.configuration = Configuration()
        self.targets: dict[str, Target] = {}
        self.running: dict[str, int] = {}

    def replace(self, configuration: Configuration) -> None:
        """Take a new list; running requests keep their count."""
        self.configuration = configuration
        self.targets = {target.name: target for target in configuration.targets}

    def take(
        self, service: str, *, without: frozenset[str], unix_s: float
    ) -> Target | None:
        """Take a slot of the least used target, own availability zone first."""
        free = [
            target
            for target in self.targets.values()
            if target.service == service
            and target.name not in without
            and self.count(target) < target.slots
            and not is_draining(self.configuration, target, unix_s)
        ]
        if not free:
            return None
        chosen = min(free, key=self._rank)
        self.running[chosen.name] = self.count(chosen) + 1
        return chosen

    def give_back(self, target: Target) -> None:
        """Free a slot."""
        left = self.count(target) - 1
        if left > 0:
            self.running[target.name] = left
        else:
            self.running.pop(target.name, None)

    def count(self, target: Target) -> int:
        """Return the slots of a target that are in use."""
        return self.running.get(target.name, 0)

    def _rank(self, target: Target) -> tuple[bool, float]:
        is_far = target.availability_zone != self.availability_zone
        return is_far, self.count(target) / target.slots
