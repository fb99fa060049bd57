"""Move traffic between zones in steps that nothing overloads."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.policies import Matrix, Policy, measure_rooms
from currantspur.messages import (
    Decision,
    Evidence,
    Flows,
    Steering,
    SteeringView,
    Step,
)

STALE_S = 20.0
LOST_SHARE = 0.5
LEAST_SHIFT = 0.005
FULL = 1.0


class Shifter:
    """Take one step at a time towards what a policy chooses."""

    __slots__ = ('is_holding', 'moved_at', 'policy', 'spacing_s', 'steering')

    def __init__(
        self, *, policy: Policy, steering: Steering, freshness_s: float
    ) -> None:
        self.policy = policy
        self.steering = steering
        self.spacing_s = max(steering.step_s, steering.cache_s + freshness_s)
        self.moved_at = float('-inf')
        self.is_holding = False

    def decide(self, view: SteeringView, *, at: float) -> Step | None:
        """Return a step, or None while the last one is under way."""
        if at - self.moved_at < self.spacing_s:
            return None
        if has_lost_measurements(view):
            return self._hold(view, at)
        self.is_holding = False
        chosen = self.policy.choose(view)
        flows = chosen
        if self.policy.is_stepped:
            flows = limit_step(view, chosen, cap=self.steering.shift_cap)
        shift = measure_shift(view.flows, flows)
        if shift < LEAST_SHIFT:
            return None
        self.moved_at = at
        return Step(
            flows=flows, shift=shift, decision=self._record(view, at, flows)
        )

    def _hold(self, view: SteeringView, at: float) -> Step | None:
        if self.is_holding:
            return None
        self.is_holding = True
        self.moved_at = at
        decision = Decision(
            at_s=at,
            instance='',
            kind='shift',
            subject='all zones',
            action='moves nothing',
            reason='most measurements are missing',
            evidence=tuple(list_evidence(view)),
            rejected=('to move: no measurement can be told from a failure',),
        )
        return Step(flows=view.flows, shift=0.0, decision=decision)

    def _record(self, view: SteeringView, at: float, flows: Flows) -> Decision:
        moves = list(list_moves(view.flows, flows))
        return Decision(
            at_s=at,
            instance='',
            kind='shift',
            subject=', '.join(sorted({zone for zone, _, _ in moves})),
            action=f'moves {"; ".join(_print_move(*one) for one in moves)}',
            reason=f'policy {self.policy.name}, at most '
            f'{self.steering.shift_cap:.0%} a step, steps {self.spacing_s:g} s '
            'apart: callers keep answers that long',
            evidence=tuple(list_evidence(view)),
            rejected=tuple(list_rejected(view, self.policy)),
        )


def has_lost_measurements(view: SteeringView) -> bool:
    """Tell whether so many reports are old that measuring has failed."""
    old = [
        each
        for each in view.places
        if each.health is None
        or view.ages.get(each.availability_zone, STALE_S) >= STALE_S
    ]
    return len(old) > LOST_SHARE * len(view.places)


def limit_step(view: SteeringView, chosen: Flows, *, cap: float) -> Matrix:
    """Return flows on the way to those chosen, under cap and room."""
    flows = {
        zone: _approach(view.flows.get(zone, {}), flow, cap)
        for zone, flow in chosen.items()
    }
    grants = dict(_grant_rooms(view, flows))
    return {
        zone: _scale_gains(view.flows.get(zone, {}), flow, grants)
        for zone, flow in flows.items()
    }


def measure_shift(before: Flows, after: Flows) -> float:
    """Return the largest share of an origin's callers that moves."""
    return max(
        (_distance(before.get(zone, {}), flow) for zone, flow in after.items()),
        default=0.0,
    )


def list_moves(before: Flows, after: Flows) -> Iterator[tuple[str, str, float]]:
    """Yield origin, zone and the change of its share."""
    for origin, flow in after.items():
        earlier = before.get(origin, {})
        for zone in sorted(flow.keys() | earlier.keys()):
            change = flow.get(zone, 0.0) - earlier.get(zone, 0.0)
            if abs(change) >= LEAST_SHIFT:
                yield origin, zone, change


def list_evidence(view: SteeringView) -> Iterator[Evidence]:
    """Yield what was known of each zone, with its age."""
    for place in view.places:
        zone = place.availability_zone
        health = 'unknown' if place.health is None else f'{place.health:.0%}'
        yield Evidence(
            name=zone,
            reading=f'{_print_demand(view, zone)}, '
            f'takes {place.capacity:.0f}/s, usable {health}, '
            f'drains leave {place.kept:.0%}',
            age_s=round(view.ages.get(zone, STALE_S), 1),
        )


def list_rejected(view: SteeringView, policy: Policy) -> Iterator[str]:
    """Yield the alternatives and why they were not taken."""
    yield 'all at once: over the cap, and caches would hide the effect'
    rooms = measure_rooms(view, FULL)
    for zone, room in rooms.items():
        demand = view.demands.get(zone, 0.0)
        if demand > room:
            yield (
                f'all callers of {zone} at home: {demand:.0f}/s want '
                f'{room:.0f}/s'
            )


def _print_demand(view: SteeringView, zone: str) -> str:
    verb = 'are assumed to want' if zone in view.assumed else 'want'
    return f'callers {verb} {view.demands.get(zone, 0.0):.0f}/s'


def _print_move(origin: str, zone: str, change: float) -> str:
    return f'callers of {origin}: {change:+.1%} to {zone}'


def _approach(
    before: Mapping[str, float], chosen: Mapping[str, float], cap: float
) -> dict[str, float]:
    distance = _distance(before, chosen)
    part = min(1.0, cap / distance) if distance > 0 else 1.0
    return {
        zone: _blend(before.get(zone, 0.0), chosen.get(zone, 0.0), part)
        for zone in before.keys() | chosen.keys()
    }


def _blend(before: float, after: float, part: float) -> float:
    return before + (after - before) * part


def _distance(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    changes = (
        abs(after.get(zone, 0.0) - before.get(zone, 0.0))
        for zone in before.keys() | after.keys()
    )
    return sum(changes) / 2


def _grant_rooms(
    view: SteeringView, flows: Matrix
) -> Iterator[tuple[str, float]]:
    for zone, room in measure_rooms(view, FULL).items():
        kept = 0.0
        gained = 0.0
        for origin, flow in flows.items():
            before = view.flows.get(origin, {}).get(zone, 0.0)
            demand = view.demands.get(origin, 0.0)
            kept += demand * before
            gained += demand * max(0.0, flow.get(zone, 0.0) - before)
        yield zone, _bound((room - kept) / gained) if gained > 0 else 1.0


def _bound(share: float) -> float:
    return min(1.0, max(0.0, share))


def _scale_gains(
    before: Mapping[str, float],
    after: Mapping[str, float],
    grants: Mapping[str, float],
) -> dict[str, float]:
    changes = {
        zone: share - before.get(zone, 0.0) for zone, share in after.items()
    }
    gains = {
        zone: change * grants.get(zone, 0.0)
        for zone, change in changes.items()
        if change > 0
    }
    wanted = sum(change for change in changes.values() if change > 0)
    part = sum(gains.values()) / wanted if wanted > 0 else 0.0
    scaled = {
        zone: before.get(zone, 0.0) + gains.get(zone, change * part)
        for zone, change in changes.items()
    }
    return {zone: share for zone, share in scaled.items() if share > 0}
