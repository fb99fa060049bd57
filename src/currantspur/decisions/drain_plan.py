"""Check planned drains before they start and tell how far they are."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.drains import covers
from currantspur.messages import Configuration, Drain, Flows, Message, Target


class DrainFinding(Message):
    """Say why a drain should not start, with the drains it names."""

    __slots__ = ('code', 'drains', 'text')

    def __init__(
        self, *, code: str, text: str, drains: tuple[str, ...]
    ) -> None:
        self.code = code
        self.text = text
        self.drains = drains


class DrainProgress(Message):
    """Tell how far a drain is."""

    __slots__ = ('drain_id', 'left', 'state')

    def __init__(self, *, drain_id: str, state: str, left: float) -> None:
        """Take the share of callers still sent to the scope."""
        self.drain_id = drain_id
        self.state = state
        self.left = left


def check_drain(
    configuration: Configuration, drain: Drain, loads: Mapping[str, float]
) -> list[DrainFinding]:
    """Return what speaks against a drain; loads are requests/s by zone."""
    return [
        *_check_clashes(configuration, drain),
        *_check_services(configuration, drain),
        *_check_regions(configuration, drain, loads),
    ]


def kept_share(drain: Drain, unix_s: float, *, before: float = 1.0) -> float:
    """Return the share that a drain leaves; a paused one stays there."""
    if drain.paused or unix_s < drain.start_s:
        return before
    return min(before, max(0.0, 1.0 - drain.pace * (unix_s - drain.start_s)))


def tell_progress(
    configuration: Configuration, drain: Drain, flows: Flows, unix_s: float
) -> DrainProgress:
    """Return the state of a drain and the share of callers it still has."""
    zones = list_zones(configuration, drain)
    shares = [
        sum(flow.get(zone, 0.0) for zone in zones) for flow in flows.values()
    ]
    left = max(shares, default=0.0)
    return DrainProgress(
        drain_id=drain.drain_id,
        state=_name_state(drain, left, unix_s),
        left=left,
    )


def list_zones(configuration: Configuration, drain: Drain) -> list[str]:
    """List the availability zones that a drain empties."""
    if drain.scope == 'availability_zone':
        return [drain.name]
    return [
        zone
        for region in configuration.regions
        if drain.scope == 'region' and region.name == drain.name
        for zone in region.availability_zones
    ]


def _name_state(drain: Drain, left: float, unix_s: float) -> str:
    if drain.paused:
        return 'paused'
    if unix_s < drain.start_s:
        return 'planned'
    return 'draining' if left > 0 else 'drained'


def _check_clashes(
    configuration: Configuration, drain: Drain
) -> Iterator[DrainFinding]:
    covered = _list_covered(configuration, drain)
    for other in configuration.drains:
        if other.drain_id == drain.drain_id:
            continue
        common = covered & _list_covered(configuration, other)
        if common:
            names = (drain.drain_id, other.drain_id)
            yield DrainFinding(
                code='clash',
                drains=names,
                text=f'drains {names[0]} and {names[1]} both take '
                + ', '.join(sorted(common)),
            )


def _check_services(
    configuration: Configuration, drain: Drain
) -> Iterator[DrainFinding]:
    left: dict[str, int] = {}
    for target in configuration.targets:
        is_kept = not _is_taken(configuration, drain, target)
        slots = target.slots if is_kept else 0
        left[target.service] = left.get(target.service, 0) + slots
    for service, slots in left.items():
        if not slots:
            yield DrainFinding(
                code='no_target',
                drains=(drain.drain_id,),
                text=f'no target would be left for {service}',
            )


def _check_regions(
    configuration: Configuration, drain: Drain, loads: Mapping[str, float]
) -> Iterator[DrainFinding]:
    gone = {
        zone
        for each in (*configuration.drains, drain)
        for zone in list_zones(configuration, each)
    }
    room = sum(
        region.intake_rate / len(region.availability_zones)
        for region in configuration.regions
        for zone in region.availability_zones
        if zone not in gone
    )
    load = sum(loads.values())
    if gone and load > room:
        yield DrainFinding(
            code='overload',
            drains=(drain.drain_id,),
            text=f'callers want {load:.0f}/s and {room:.0f}/s would be left',
        )


def _is_taken(
    configuration: Configuration, drain: Drain, target: Target
) -> bool:
    return any(
        covers(configuration, each, target)
        for each in (*configuration.drains, drain)
    )


def _list_covered(configuration: Configuration, drain: Drain) -> set[str]:
    targets = {
        target.name
        for target in configuration.targets
        if covers(configuration, drain, target)
    }
    return targets | set(list_zones(configuration, drain))
