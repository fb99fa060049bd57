"""Choose a target and count the slots in use."""

from collections.abc import Mapping

from currantspur.decisions.drains import is_draining
from currantspur.decisions.ejection import Ejector
from currantspur.messages import (
    Configuration,
    HealthVerdict,
    Part,
    Target,
    name_slots_limit,
)
from currantspur.messages.traffic import Verdict

DRAIN_CHECK_S = 0.25
SLOTS_PREFIX = name_slots_limit('')
Tiers = tuple[list[Target], list[Target]]


class SlotTable:
    """Count the requests that each target runs for this instance."""

    __slots__ = (
        'availability_zone',
        'by_service',
        'checked_at',
        'configuration',
        'ejector',
        'health',
        'open',
        'parts',
        'running',
        'turn',
        'turns',
    )

    def __init__(self, *, availability_zone: str) -> None:
        self.availability_zone = availability_zone
        self.configuration = Configuration()
        self.ejector = Ejector()
        self.health: Mapping[str, HealthVerdict] = {}
        self.by_service: dict[str, list[Target]] = {}
        # Targets that take work: of the own availability zone, and others.
        self.open: dict[str, Tiers] = {}
        self.checked_at = float('-inf')
        self.parts: dict[str, int] | None = None
        self.running: dict[str, int] = {}
        self.turns: dict[str, int] = {}
        self.turn = 0

    def replace(self, configuration: Configuration) -> None:
        """Take a new list; running requests keep their count."""
        self.configuration = configuration
        self.by_service = {}
        for target in configuration.targets:
            self.by_service.setdefault(target.service, []).append(target)
        self.checked_at = float('-inf')

    def allot(self, by_limit: dict[str, Part], *, version: int = 0) -> None:
        """Take this instance's parts of the slots, once any are planned."""
        parts = {
            limit.removeprefix(SLOTS_PREFIX): int(part.burst)
            for limit, part in by_limit.items()
            if limit.startswith(SLOTS_PREFIX)
        }
        if parts or version or self.parts is not None:
            self.parts = parts

    def take(
        self, service: str, *, without: frozenset[str], at: float, unix_s: float
    ) -> Target | None:
        """Take a slot of the least used target, own availability zone first."""
        self._check_drains(unix_s)
        for tier in self.open.get(service, ()):
            free = [
                target
                for target in tier
                if target.name not in without
                and self.count(target) < self.usable(target, at)
            ]
            if free:
                return self._choose(free)
        return None

    def give_back(self, target: Target, verdict: Verdict, at: float) -> bool:
        """Free a slot; tell whether the target was taken out for it."""
        left = self.count(target) - 1
        if left > 0:
            self.running[target.name] = left
        else:
            self.running.pop(target.name, None)
        fellows = []
        if verdict == 'failed':
            known = self.by_service.get(target.service, ())
            fellows = [one.name for one in known]
        return self.ejector.note(target.name, verdict, fellows=fellows, at=at)

    def count(self, target: Target) -> int:
        """Return the slots of a target that are in use."""
        return self.running.get(target.name, 0)

    def allotted(self, target: Target) -> int:
        """Return the slots of a target that are this instance's."""
        if self.parts is None:
            return target.slots
        return self.parts.get(target.name, 0)

    def usable(self, target: Target, at: float) -> int:
        """Return the slots that may be used now; a suspect has fewer."""
        slots = self.allotted(target)
        share = self.ejector.share(target.name, at)
        verdict = self.health.get(target.name)
        if verdict is not None and verdict.state != 'unknown':
            share = min(share, verdict.share)
        if share >= 1:
            return slots
        return min(slots, max(1, int(slots * share))) if share else 0

    def capacity(self, service: str, at: float) -> int:
        """Return the slots of a service that may be used now."""
        return sum(
            self.usable(target, at)
            for tier in self.open.get(service, ())
            for target in tier
        )

    def _check_drains(self, unix_s: float) -> None:
        if abs(unix_s - self.checked_at) < DRAIN_CHECK_S:
            return
        self.checked_at = unix_s
        self.open = {
            service: self._split(targets, unix_s)
            for service, targets in self.by_service.items()
        }

    def _split(self, targets: list[Target], unix_s: float) -> Tiers:
        tiers: Tiers = ([], [])
        for target in targets:
            if not is_draining(self.configuration, target, unix_s):
                is_far = target.availability_zone != self.availability_zone
                tiers[is_far].append(target)
        return tiers

    def _choose(self, free: list[Target]) -> Target:
        chosen = min(free, key=self._rank)
        self.turn += 1
        self.turns[chosen.name] = self.turn
        self.running[chosen.name] = self.count(chosen) + 1
        return chosen

    def _rank(self, target: Target) -> tuple[float, int]:
        used = self.count(target) / max(1, target.slots)
        return used, self.turns.get(target.name, 0)
