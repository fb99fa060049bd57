"""Plan which share of a region's work other regions should take."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.demand import RateMeter
from currantspur.decisions.region_shift import RegionShiftLimiter, ShiftDeficit
from currantspur.messages import ServiceLoad, SpillPlan
from currantspur.messages.base import Message

# An instance that starts with its fleet hears from peers what they are asked
# too late: until then it goes by its own first requests for this long.
STARTUP_MEASURE_S = 0.5
# Fewer requests than these tell little; it waits for them, but not for long.
STARTUP_MIN_REQUESTS = 5
MAX_STARTUP_MEASURE_S = 1.0
# Above this use of its slots a region's requests wait for each other.
UTILIZATION_LIMIT = 0.5
# Plans are noted when they changed by this share.
LOGGED_SHARE_STEP = 0.1


class RegionLoad(Message):
    """Compare the work that callers of a region ask for with its targets."""

    __slots__ = ('demand_slots', 'slots')

    def __init__(
        self, *, demand_slots: float = 0.0, slots: float = 0.0
    ) -> None:
        """Take slots that the work would fill, and slots that there are."""
        self.demand_slots = demand_slots
        self.slots = slots


def plan_spill_share(loads: Mapping[str, RegionLoad], region: str) -> float:
    """Return the share of a region's work that should run elsewhere.

    All regions are used alike where one alone would be used too much. While
    nothing is measured, callers are taken to be spread evenly.
    """
    own = loads.get(region, RegionLoad())
    slots = sum(load.slots for load in loads.values())
    need = sum(load.demand_slots for load in loads.values())
    if slots <= 0:
        return 0.0
    if need <= 0:
        return max(0.0, 1 - own.slots * len(loads) / slots)
    if own.demand_slots <= 0:
        return 0.0
    bearable = max(UTILIZATION_LIMIT, need / slots) * own.slots
    return max(0.0, 1 - bearable / own.demand_slots)


class StartupWorkMeter:
    """Measure the work of the first moments of an instance."""

    __slots__ = ('began_at', 'is_over', 'requests', 'work_s')

    def __init__(self, *, is_over: bool = False) -> None:
        """Take whether peers told what they are asked before."""
        self.began_at: float | None = None
        self.is_over = is_over
        self.requests = 0
        self.work_s = 0.0

    def count(self, work_s: float, at: float) -> float | None:
        """Add a request; return the slots filled, once, when it is over."""
        if self.is_over:
            return None
        if self.began_at is None:
            self.began_at = at
        self.requests += 1
        self.work_s += work_s
        passed_s = at - self.began_at
        is_clear = self.requests >= STARTUP_MIN_REQUESTS
        least_s = STARTUP_MEASURE_S if is_clear else MAX_STARTUP_MEASURE_S
        if passed_s < least_s:
            return None
        self.is_over = True
        return self.work_s / passed_s


class SpilloverPlanner:
    """Hold what each service sends to other regions, and why."""

    __slots__ = (
        'busy_slots_by_region',
        'cap',
        'deficit',
        'limiters',
        'logged_shares',
        'meter',
        'region',
        'regional_size',
        'startup_meters',
    )

    def __init__(self, *, cap: float, region: str) -> None:
        """Take the share that may change region in a window."""
        self.cap = cap
        self.region = region
        self.regional_size = 1
        # The slots that callers of each region fill, by service.
        self.busy_slots_by_region: Mapping[str, Mapping[str, float]] = {}
        self.meter = RateMeter(0.0)
        self.deficit = ShiftDeficit()
        self.limiters: dict[str, RegionShiftLimiter] = {}
        self.startup_meters: dict[str, StartupWorkMeter] = {}
        self.logged_shares: dict[str, float] = {}

    def shift_limiter(self, service: str) -> RegionShiftLimiter:
        """Return how much of a service's work goes to other regions."""
        known = self.limiters.get(service)
        if known is None:
            known = RegionShiftLimiter(self.cap, self.deficit)
            self.limiters[service] = known
        return known

    def plan(self, service: str, slots: Mapping[str, float]) -> None:
        """Plan from the work of all regions and their slots."""
        loads = {
            region: RegionLoad(
                demand_slots=self.busy_slots_by_region.get(region, {}).get(
                    service, 0.0
                ),
                slots=each,
            )
            for region, each in slots.items()
        }
        self.shift_limiter(service).planned_share = plan_spill_share(
            loads, self.region
        )

    def record_request(
        self, service: str, work_s: float, at: float
    ) -> float | None:
        """Count a request; return the work of the opening when it is over."""
        self.meter.count(service, work_s)
        if service not in self.startup_meters:
            has_peers = bool(self.busy_slots_by_region.get(self.region))
            self.startup_meters[service] = StartupWorkMeter(is_over=has_peers)
        return self.startup_meters[service].count(work_s, at)

    def measure_busy_slots(self, at: float) -> ServiceLoad:
        """Return the slots that requests filled since this was last asked."""
        return ServiceLoad(busy_slots_by_service=self.meter.update_rates(at))

    def plan_from_own_load(
        self, service: str, need: float, slots: Mapping[str, float]
    ) -> None:
        """Go by the own work alone, as if all were asked as much."""
        loads = {
            region: RegionLoad(
                demand_slots=need * self.regional_size, slots=each
            )
            for region, each in slots.items()
        }
        self.shift_limiter(service).set_share(
            plan_spill_share(loads, self.region)
        )

    def find_largest(self) -> float:
        """Return the largest share that any service sends elsewhere."""
        levels = (shift.current_share for shift in self.limiters.values())
        return max(levels, default=0.0)

    def list_changes(self) -> Iterator[SpillPlan]:
        """Yield plans that changed much since they were yielded last."""
        for service, shift in self.limiters.items():
            before = self.logged_shares.get(service, 0.0)
            if abs(shift.planned_share - before) < LOGGED_SHARE_STEP:
                continue
            self.logged_shares[service] = shift.planned_share
            yield SpillPlan(
                service=service,
                share=shift.planned_share,
                before=before,
                sent_now=shift.current_share,
                work={
                    region: by_service.get(service, 0.0)
                    for region, by_service in self.busy_slots_by_region.items()
                },
            )
