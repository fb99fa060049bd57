"""Decide who is a member from a lagging list and what peers show."""

from collections.abc import Iterable

import xxhash

from currantspur.messages import Instance

FAILURES_TO_DOUBT = 3
SILENCE_S = 2.0
KEPT_S = 10.0


def digest_members(instances: Iterable[Instance]) -> str:
    """Return a digest that differs when any member differs."""
    return xxhash.xxh3_64_hexdigest(repr(list(instances)).encode())


class Sight:
    """Count what direct contact with one instance showed."""

    __slots__ = ('answered_at', 'failures')

    def __init__(self) -> None:
        self.answered_at = float('-inf')
        self.failures = 0


class Roster:
    """Merge the list, what peers told, and direct contact."""

    __slots__ = ('listed', 'sights', 'told')

    def __init__(self) -> None:
        self.listed: dict[str, Instance] = {}
        self.told: dict[str, Instance] = {}
        self.sights: dict[str, Sight] = {}

    def take_list(self, instances: Iterable[Instance], at: float) -> None:
        """Replace the list; keep one it dropped that answered of late."""
        dropped = self.members(at)
        self.listed = {one.name: one for one in instances}
        self.told = {
            one.name: one
            for one in dropped
            if one.name not in self.listed and self._answered(one.name, at)
        }

    def take_told(self, instances: Iterable[Instance]) -> None:
        """Add instances that a peer knows; they yield to the list."""
        for instance in instances:
            self.told[instance.name] = instance

    def note(self, name: str, *, answered: bool, at: float) -> None:
        """Count a direct answer or a failure."""
        sight = self.sights.setdefault(name, Sight())
        if answered:
            sight.answered_at = at
            sight.failures = 0
        else:
            sight.failures += 1

    def members(self, at: float) -> tuple[Instance, ...]:
        """Return the members; a mass failure is taken for our own."""
        known = {**self.told, **self.listed}
        ordered = [known[name] for name in sorted(known)]
        doubted = {one.name for one in ordered if self._is_doubted(one, at)}
        contacted = [one for one in ordered if one.name in self.sights]
        if len(doubted) * 2 > len(contacted):
            doubted = set()
        return tuple(one for one in ordered if one.name not in doubted)

    def _is_doubted(self, instance: Instance, at: float) -> bool:
        sight = self.sights.get(instance.name)
        return (
            sight is not None
            and sight.failures >= FAILURES_TO_DOUBT
            and at - sight.answered_at >= SILENCE_S
        )

    def _answered(self, name: str, at: float) -> bool:
        sight = self.sights.get(name)
        return sight is not None and at - sight.answered_at <= KEPT_S
