"""Tell which instances live from the pulses that they send."""

from collections.abc import Iterable, Mapping

from currantspur.messages import FleetView, Instance, Pulse

# Three pulses may be lost before an instance leaves the answers to callers.
SILENT_S = 3.2
# A silent instance may be cut off and still serve callers: its part of the
# limits is kept for it this long.
FORGOTTEN_S = 30.0


class Sight:
    """Hold the newest pulse of an instance and when it came."""

    __slots__ = ('at', 'former_life', 'pulse')

    def __init__(
        self, pulse: Pulse, at: float, *, former_life: int | None = None
    ) -> None:
        """Take the life before this one: its late pulses count no more."""
        self.pulse = pulse
        self.at = at
        self.former_life = former_life

    def is_before(self, pulse: Pulse) -> bool:
        """Tell whether a pulse was sent after the newest one."""
        if pulse.life == self.pulse.life:
            return pulse.number > self.pulse.number
        return pulse.life != self.former_life


class Liveness:
    """Keep what peers said last; this instance always lives."""

    __slots__ = ('own', 'sights')

    def __init__(self, own: Pulse) -> None:
        self.own = own
        self.sights: dict[str, Sight] = {}

    def note(self, pulse: Pulse, at: float) -> bool:
        """Take a pulse; tell whether it changes who is known."""
        name = pulse.instance.name
        if name == self.own.instance.name:
            return False
        known = self.sights.get(name)
        if known is None:
            self.sights[name] = Sight(pulse, at)
            return True
        if not known.is_before(pulse):
            return False
        former = known.former_life
        if pulse.life != known.pulse.life:
            former = known.pulse.life
        self.sights[name] = Sight(pulse, at, former_life=former)
        return _takes_callers(known.pulse) != _takes_callers(pulse)

    def list_peers(self, known: Iterable[Instance]) -> list[Instance]:
        """Return everyone to whom pulses go."""
        peers = {one.name: one for one in known}
        for name, sight in self.sights.items():
            peers[name] = sight.pulse.instance
        peers.pop(self.own.instance.name, None)
        return list(peers.values())

    def view(self, at: float) -> FleetView:
        """Return who takes callers and what is asked of everyone."""
        self._forget(at)
        live = [self.own.instance] if _takes_callers(self.own) else []
        demand: dict[str, Mapping[str, float]] = {
            self.own.instance.name: self.own.demand
        }
        for name, sight in self.sights.items():
            if sight.pulse.is_leaving and at - sight.at > SILENT_S:
                continue
            demand[name] = sight.pulse.demand
            if _takes_callers(sight.pulse) and at - sight.at <= SILENT_S:
                live.append(sight.pulse.instance)
        return FleetView(
            live=tuple(live), size=len(demand), demand=demand, at=at
        )

    def _forget(self, at: float) -> None:
        gone = [
            name
            for name, sight in self.sights.items()
            if at - sight.at > FORGOTTEN_S
        ]
        for name in gone:
            self.sights.pop(name)


def _takes_callers(pulse: Pulse) -> bool:
    return pulse.is_ready and not pulse.is_leaving
