"""Remember targets that left, in case the store returns to a copy from before.

Such a copy lists them as they were. A target that drains does not take that
back; one whose row was removed may be there again if it still writes its row.
"""

from collections.abc import Iterator, Mapping

from currantspur.messages import Target, fields
from currantspur.messages.table_updates import NEVER

# A copy is some seconds old; what left earlier is not in it.
MAX_COPY_AGE_S = 60.0
# A row that no target writes is removed after three intervals of 1.5 s. One
# that is listed for longer in a copy is written again.
UNWRITTEN_ROW_S = 6.0


class Departure:
    """How one start of a target left, in monotonic seconds."""

    __slots__ = ('at', 'is_drained', 'target')

    def __init__(self, target: Target, at: float, *, is_drained: bool) -> None:
        self.target = target
        self.at = at
        self.is_drained = is_drained

    def covers(self, target: Target) -> bool:
        """Tell whether a row is of the start that left or an earlier one."""
        return self.outdates(target) or (
            target.started_at_unix_ms == self.target.started_at_unix_ms
            and target.address == self.target.address
        )

    def outdates(self, target: Target) -> bool:
        """Tell whether a row is of an earlier start than the one that left."""
        return target.started_at_unix_ms < self.target.started_at_unix_ms


class DepartedTargets:
    """The targets that drained or were removed lately, by name."""

    __slots__ = ('departures', 'held', 'held_until')

    def __init__(self) -> None:
        self.departures: dict[str, Departure] = {}
        # The departures that a copy may not know.
        self.held: dict[str, Departure] = {}
        # When removed targets that are listed count again.
        self.held_until = NEVER

    def record(
        self,
        before: Mapping[str, Target],
        latest: Mapping[str, Target],
        at: float,
    ) -> None:
        """Record which targets of an era left, and which came back."""
        for name, target in before.items():
            if name not in latest:
                self.departures[name] = Departure(
                    target, at, is_drained=target.is_draining
                )
        for name, target in latest.items():
            if target.is_draining:
                self.departures[name] = Departure(target, at, is_drained=True)
            else:
                self.departures.pop(name, None)
        self.departures = {
            name: departure
            for name, departure in self.departures.items()
            if at - departure.at <= MAX_COPY_AGE_S
        }

    def hold(self, at: float) -> None:
        """Keep to what is known, as the store returned to a copy."""
        self.held = {**self.held, **self.departures}
        self.held_until = at + UNWRITTEN_ROW_S

    def has_expired(self, at: float) -> bool:
        """Tell whether removed targets that are listed count from now on."""
        return self.held_until != NEVER and at > self.held_until

    def filter_listed(
        self, listed: Mapping[str, Target], at: float
    ) -> Iterator[tuple[str, Target]]:
        """Yield the listed targets without those that a copy brought back."""
        if self.has_expired(at):
            self.held_until = NEVER
        for name, target in listed.items():
            departure = self._find_held(target)
            if departure is None:
                yield name, target
            elif departure.is_drained:
                yield name, mark_draining(target)

    def _find_held(self, target: Target) -> Departure | None:
        """Return the departure that still holds for a listed target."""
        departure = self.held.get(target.name)
        if departure is None or not departure.covers(target):
            return None
        # A row of an earlier start that is still written is no copy: the clock
        # of the target's machine was set back.
        is_lasting = departure.is_drained and not departure.outdates(target)
        is_over = self.held_until == NEVER and not is_lasting
        return None if is_over else departure


def mark_draining(target: Target) -> Target:
    """Return the target as one that drains."""
    return Target(**{**dict(fields(target)), 'is_draining': True})
