"""Keep all instances together within the rates of cold and limited targets.

A target is cold after its start, or names a limit of its own; one that cannot
be reached is treated as cold. The rate is divided by the demand at each
instance: equal parts of a large fleet would be too small to serve anybody.

A cold target, which a burst overloads, gets requests of so few instances only
that each may send one at any time.
"""

from collections.abc import Iterable, Mapping

from currantspur.decisions.affinity import draw_uniform, rendezvous_weight
from currantspur.decisions.rate_meter import RateMeter
from currantspur.decisions.rate_share import RateShare, share_rate
from currantspur.decisions.target_signals import SignalTable
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import FleetView, Instance, Target

# An absent target gets this part of the rate of a cold one: all instances send
# to it, and their requests may arrive together when it responds again.
ABSENT_RATE_FACTOR = 0.5
# Requests per second to an absent target, before ABSENT_RATE_FACTOR, if the
# configuration names no rate for cold targets or 0: without requests its return
# might not be noticed.
DEFAULT_COLD_PER_S = 5.0
# Requests that may arrive together: a few, and what the rate yields in a time.
BASE_BURST = 4.0
COLD_BURST_S = 0.5
LIMIT_BURST_S = 2.0
# Less would allow no request at all.
MIN_BURST = 1.0
# Parts go by demand once all regions have reported theirs: until then an
# instance that alone has reported would take all.
DEMAND_SETTLE_S = 3.0
# A target that takes nothing is asked now and then: the end of its limit would
# not be noticed otherwise.
MIN_LIMIT_PER_S = 0.25
# After this time callers of an instance without a part try another one.
NO_SHARE_WAIT_S = 0.5


class TargetRate:
    """The rate and the burst that a target takes from the whole fleet."""

    __slots__ = ('burst', 'is_cold', 'rate_per_s')

    def __init__(self, rate_per_s: float, *, is_cold: bool) -> None:
        """Allow the burst of a cold target, or of one that names a limit."""
        self.rate_per_s = rate_per_s
        self.is_cold = is_cold
        burst_s = COLD_BURST_S if is_cold else LIMIT_BURST_S
        self.burst = BASE_BURST + burst_s * rate_per_s

    def count_holders(self, sender_count: int) -> int:
        """Return how many of the senders hold a part of the rate."""
        most = int(self.burst) if self.is_cold else sender_count
        return max(1, min(sender_count, most))


class TargetLimits:
    """The parts of the rates of targets that one instance may use."""

    __slots__ = (
        'cold_per_s_by_service',
        'demand_meter',
        'instance_name',
        'rank_by_target',
        'signals',
        'topology',
        'view',
    )

    def __init__(
        self, topology: Topology, signals: SignalTable, instance_name: str
    ) -> None:
        """Start alone, without rates of cold targets."""
        self.topology = topology
        self.signals = signals
        self.instance_name = instance_name
        # Fleet-wide requests per second to each cold target, by service.
        self.cold_per_s_by_service: Mapping[str, float] = {}
        self.view = FleetView(live_instances=(), fleet_size=1, computed_at=0.0)
        # Rank of this instance among the senders of the view, by target.
        self.rank_by_target: dict[str, int] = {}
        # Requests for which a limited target was the best choice, by target.
        self.demand_meter = RateMeter(0.0)

    def update_view(self, view: FleetView) -> None:
        """Divide rates between the instances of a view, by their demand."""
        if view.senders != self.view.senders:
            self.rank_by_target.clear()
        self.view = view

    def find_share(self, state: TargetState, at: float) -> RateShare | None:
        """Return the part of the target's rate, refilled; None without one."""
        rate = self._find_rate(state, at)
        if rate is None:
            state.rate_share = None
            return None
        share_per_s = self._find_share_per_s(state, rate, at)
        holder_count = rate.count_holders(len(self.view.senders))
        burst = max(MIN_BURST, rate.burst / holder_count)
        if state.rate_share is None:
            state.rate_share = RateShare(
                share_per_s=share_per_s,
                burst=burst,
                at=at,
                initial_tokens=burst * self._draw_fill(state.target),
            )
        state.rate_share.reconfigure(
            share_per_s=state.rate_share.limit_rise(share_per_s, at),
            burst=burst,
            at=at,
        )
        return state.rate_share

    def wait_s(self, state: TargetState, at: float) -> float:
        """Return the seconds until the target takes a request from here."""
        pause_s = self.signals.find_pause_s(state.target, at)
        share = self.find_share(state, at)
        if share is None:
            return pause_s
        wait_s = share.bucket.wait_s()
        return max(pause_s, NO_SHARE_WAIT_S if wait_s is None else wait_s)

    def is_paused(self, state: TargetState, at: float) -> bool:
        """Tell whether the target wants no request of this instance now."""
        return self.signals.find_pause_s(state.target, at) > 0

    def is_limited(self, state: TargetState) -> bool:
        """Tell whether the target names a limit."""
        return self.signals.find_limit_per_s(state.target) is not None

    def count_demand(self, state: TargetState, at: float) -> None:
        """Count a request that would go to a target if its rate allowed."""
        rate = self._find_rate(state, at)
        if rate is not None and self._is_holder(state.target, rate):
            self.demand_meter.count(state.target.name)

    def measure_demand(
        self, targets: Iterable[Target], at: float
    ) -> dict[str, float]:
        """Return the demand for targets that name a limit, per second."""
        rates = self.demand_meter.update_rates(at)
        limited = {
            target.name
            for target in targets
            if target.name in rates
            and self.signals.find_limit_per_s(target) is not None
        }
        self.demand_meter.retain_only(limited)
        return {name: rates[name] for name in limited}

    def _draw_fill(self, target: Target) -> float:
        """Return how full the bucket of this instance begins, from 0 to 1.

        If it were equal at all instances, their requests would arrive together,
        again and again if their parts are equal.
        """
        return draw_uniform(target.name, self.instance_name)

    def _find_rate(self, state: TargetState, at: float) -> TargetRate | None:
        """Return the lowest rate that the fleet has to keep, or None."""
        limit_per_s = self.signals.find_limit_per_s(state.target)
        if limit_per_s is not None:
            limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        if state.is_cold(at):
            cold_per_s = self._find_cold_per_s(state)
            if limit_per_s is not None:
                cold_per_s = min(cold_per_s, limit_per_s)
            return TargetRate(cold_per_s, is_cold=True)
        if limit_per_s is None:
            return None
        return TargetRate(limit_per_s, is_cold=False)

    def _find_cold_per_s(self, state: TargetState) -> float:
        cold_per_s = self.cold_per_s_by_service.get(state.target.service, 0.0)
        if state.is_absent:
            return ABSENT_RATE_FACTOR * (cold_per_s or DEFAULT_COLD_PER_S)
        return cold_per_s

    def _find_share_per_s(
        self, state: TargetState, rate: TargetRate, at: float
    ) -> float:
        if state.is_absent:
            # Each instance finds out by itself that the target is back.
            return rate.rate_per_s / max(1.0, self.view.limit_divisor)
        if not self._is_holder(state.target, rate):
            return 0.0
        holder_count = rate.count_holders(len(self.view.senders))
        if not self._has_settled(state.target, at):
            return rate.rate_per_s / holder_count
        name = state.target.name
        view = self.view
        return share_rate(
            rate.rate_per_s,
            own_demand_per_s=view.own_requests_per_s_by_target.get(name, 0.0),
            total_demand_per_s=view.requests_per_s_by_target.get(name, 0.0),
            limit_divisor=holder_count,
        )

    def _has_settled(self, target: Target, at: float) -> bool:
        record = self.signals.find(target)
        return (
            record is not None
            and record.limit_per_s is not None
            and at - record.limited_since >= DEMAND_SETTLE_S
        )

    def _is_holder(self, target: Target, rate: TargetRate) -> bool:
        """Tell whether this instance is one that holds a part of the rate."""
        rank = self.rank_by_target.get(target.name)
        if rank is None:
            region = self.topology.find_region(target.availability_zone)
            names = rank_senders(self.view.senders, target.name, region)
            # Before the first view this instance is the only one; if callers
            # do not use it, it comes last.
            is_ranked = self.instance_name in names
            rank = names.index(self.instance_name) if is_ranked else len(names)
            self.rank_by_target[target.name] = rank
        return rank < rate.count_holders(len(self.view.senders))


def rank_senders(
    senders: Iterable[Instance], target: str, region: str
) -> list[str]:
    """Return the names of instances, those that first hold a part of a rate.

    Instances of the target's region come before others; all instances agree on
    the order.
    """
    ranked = sorted(
        senders,
        key=lambda sender: (
            sender.region != region,
            rendezvous_weight(sender.name, target),
        ),
    )
    return [sender.name for sender in ranked]
