"""Plan the share of a region's work that runs in other regions."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.rate_meter import RateMeter
from currantspur.decisions.region_shift import RegionShiftLimiter, ShiftDeficit
from currantspur.messages import SpillPlan
from currantspur.messages.base import Message

# An instance that starts together with its fleet has to place its first
# requests before it learns the load of its peers. It plans from its own first
# requests instead, measured for this long.
STARTUP_MEASURE_S = 0.5
# Fewer requests tell little about the load: the measurement goes on until there
# are as many, but not beyond the maximum time.
STARTUP_MIN_REQUESTS = 5
MAX_STARTUP_MEASURE_S = 1.0
# Instances in a region up to which each one measures the load at its start.
MAX_MEASURING_INSTANCES = 4
# Share of a region's slots in use above which its requests wait for each other.
UTILIZATION_LIMIT = 0.5
# Work returns to a region only up to this part of what it may keep. An object
# that moves is cold where it arrives, so the plan ignores smaller changes.
RETURN_FACTOR = 0.6
# A planned share is logged when it has changed by at least this much.
LOGGED_SHARE_STEP = 0.1


class RegionLoad(Message):
    """The load from the callers of a region and the slots of its targets."""

    __slots__ = ('busy_slots', 'slots')

    def __init__(self, *, busy_slots: float = 0.0, slots: float = 0.0) -> None:
        """Record the mean busy slots and the number of usable slots."""
        self.busy_slots = busy_slots
        self.slots = slots


def plan_spill_share(
    loads: Mapping[str, RegionLoad], region: str, *, planned_share: float = 0.0
) -> float:
    """Return the share, from 0 to 1, of a region's work to run elsewhere.

    A region keeps work up to UTILIZATION_LIMIT of its slots, or up to the mean
    utilization of all regions where that is higher. Work that was planned to
    run elsewhere returns only until the region keeps RETURN_FACTOR of that.
    Before any load is measured, callers are assumed to be spread evenly over
    the regions.
    """
    own = loads.get(region, RegionLoad())
    total_slots = sum(load.slots for load in loads.values())
    total_busy_slots = sum(load.busy_slots for load in loads.values())
    if total_slots <= 0:
        return 0.0
    if total_busy_slots <= 0:
        return max(0.0, 1 - own.slots * len(loads) / total_slots)
    if own.busy_slots <= 0:
        # Not heard from yet, or without callers: nothing has to move.
        return planned_share
    kept_slots = (
        max(UTILIZATION_LIMIT, total_busy_slots / total_slots) * own.slots
    )
    least_share = 1 - kept_slots / own.busy_slots
    most_share = 1 - RETURN_FACTOR * kept_slots / own.busy_slots
    return max(0.0, least_share, min(planned_share, most_share))


class StartupWorkMeter:
    """Measure the load of one service just after the start of an instance."""

    __slots__ = ('is_done', 'requests', 'started_at', 'work_s')

    def __init__(self, *, is_done: bool = False) -> None:
        """Wait for the first request.

        `is_done` skips the measurement, as the load of peers is known already.
        """
        self.started_at: float | None = None
        self.is_done = is_done
        self.requests = 0
        self.work_s = 0.0

    def count(self, work_s: float, at: float) -> float | None:
        """Add the expected work of a request.

        Return the mean busy slots once, when the measurement ends; else None.
        """
        if self.is_done:
            return None
        if self.started_at is None:
            self.started_at = at
        self.requests += 1
        self.work_s += work_s
        elapsed_s = at - self.started_at
        has_enough = self.requests >= STARTUP_MIN_REQUESTS
        measure_s = STARTUP_MEASURE_S if has_enough else MAX_STARTUP_MEASURE_S
        if elapsed_s < measure_s:
            return None
        self.is_done = True
        return self.work_s / elapsed_s


class SpilloverPlanner:
    """Plan the cross-region share of each service from the load of regions."""

    __slots__ = (
        'busy_slots_by_region',
        'deficit',
        'limiters',
        'logged_shares',
        'meter',
        'region',
        'region_instance_count',
        'shift_cap',
        'startup_meters',
    )

    def __init__(self, *, shift_cap: float, region: str) -> None:
        """Start with the cap for RegionShiftLimiter and the own region."""
        self.shift_cap = shift_cap
        self.region = region
        # The number of live instances in the own region.
        self.region_instance_count = 1
        # The slots filled by requests from callers of a region: by region, then
        # by service.
        self.busy_slots_by_region: Mapping[str, Mapping[str, float]] = {}
        # The first measurement spans from time 0 of the clock, which may lie
        # long before the start; its rates are too low in that case.
        self.meter = RateMeter(0.0)
        self.deficit = ShiftDeficit()
        self.limiters: dict[str, RegionShiftLimiter] = {}
        self.startup_meters: dict[str, StartupWorkMeter] = {}
        self.logged_shares: dict[str, float] = {}

    def limiter_for(self, service: str) -> RegionShiftLimiter:
        """Return the limiter of a service; it is created on first use."""
        limiter = self.limiters.get(service)
        if limiter is None:
            limiter = RegionShiftLimiter(self.shift_cap, self.deficit)
            limiter.set_instance_count(self.region_instance_count)
            self.limiters[service] = limiter
        return limiter

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances in the own region."""
        self.region_instance_count = max(1, count)
        for limiter in self.limiters.values():
            limiter.set_instance_count(self.region_instance_count)

    def plan(self, service: str, slots: Mapping[str, float]) -> None:
        """Plan a service's share from the load and the slots of all regions."""
        loads = {
            region: RegionLoad(
                busy_slots=self.busy_slots_by_region.get(region, {}).get(
                    service, 0.0
                ),
                slots=region_slots,
            )
            for region, region_slots in slots.items()
        }
        limiter = self.limiter_for(service)
        limiter.planned_share = plan_spill_share(
            loads, self.region, planned_share=limiter.planned_share
        )
        is_measured = any(load.busy_slots for load in loads.values())
        is_first = not is_measured and limiter.updated_at is None
        if is_first and self._has_many_instances():
            # All begin with the same share, whenever their first request comes;
            # loads arrive at different times.
            limiter.set_share(limiter.planned_share)

    def record_request(
        self, service: str, work_s: float, at: float
    ) -> float | None:
        """Count the expected work of a request.

        Return the mean busy slots once, when the startup measurement of the
        service ends; else None.
        """
        self.meter.count(service, work_s)
        if service not in self.startup_meters:
            # Of many instances each one sees too few requests to tell the load;
            # their plans would differ, and each object with them.
            is_load_known = bool(self.busy_slots_by_region.get(self.region))
            self.startup_meters[service] = StartupWorkMeter(
                is_done=is_load_known or self._has_many_instances()
            )
        return self.startup_meters[service].count(work_s, at)

    def measure_busy_slots(self, at: float) -> Mapping[str, float]:
        """Return smoothed busy slots by service; start a new measurement."""
        return self.meter.update_rates(at)

    def plan_from_own_load(
        self, service: str, busy_slots: float, slots: Mapping[str, float]
    ) -> None:
        """Set a service's share at once from the load of this instance.

        All instances are assumed to have the same load, and all regions as many
        instances as the own one.
        """
        loads = {
            region: RegionLoad(
                busy_slots=busy_slots * self.region_instance_count,
                slots=region_slots,
            )
            for region, region_slots in slots.items()
        }
        self.limiter_for(service).set_share(
            plan_spill_share(loads, self.region)
        )

    def find_largest_share(self) -> float:
        """Return the largest current cross-region share of any service."""
        shares = (limiter.current_share for limiter in self.limiters.values())
        return max(shares, default=0.0)

    def list_changed_plans(self) -> Iterator[SpillPlan]:
        """Yield the plans that changed much since they were last yielded."""
        for service, limiter in self.limiters.items():
            before = self.logged_shares.get(service, 0.0)
            if abs(limiter.planned_share - before) < LOGGED_SHARE_STEP:
                continue
            self.logged_shares[service] = limiter.planned_share
            yield SpillPlan(
                service=service,
                share=limiter.planned_share,
                before=before,
                sent_now=limiter.current_share,
                work={
                    region: by_service.get(service, 0.0)
                    for region, by_service in self.busy_slots_by_region.items()
                },
            )

    def _has_many_instances(self) -> bool:
        return self.region_instance_count > MAX_MEASURING_INSTANCES
