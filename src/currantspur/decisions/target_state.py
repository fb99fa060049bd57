"""Judge one target by its answers and by what it says of its load."""

from collections import OrderedDict

from currantspur.decisions.token_bucket import TokenBucket
from currantspur.messages import Target, TargetLoad

# What others send there is forgotten by half in this time without news.
OTHERS_HALF_LIFE_S = 1.0
# A failing or slow target is tried again after a few of these.
FAILURE_HALF_LIFE_S = 3.0
# A target that joined is given its first requests this far apart.
WARMUP_SPACING_S = 1.0
LATENCY_RATIO_SMOOTHING = 0.3
MAX_LATENCY_RATIO = 20.0
MIN_LATENCY_RATIO = 0.5
MAX_WARM_KEYS = 128
# A target that rejects holds at least this many times its slots.
REJECTION_LOAD_FACTOR = 2.0
# A connection may be lost on the way; two in a row mean an absence.
ABSENT_AFTER_FAILURES = 2
# A target that was absent is taken for cold for this long once it is back.
RETURN_COLD_S = 3.0


class TargetState:
    """Hold what this instance knows of one target."""

    __slots__ = (
        'cold_bucket',
        'cold_until',
        'failures',
        'failures_at',
        'has_joined',
        'last_latency_ratio',
        'misses',
        'others_at',
        'others_in_flight',
        'own_in_flight',
        'pace_at',
        'target',
        'warm_keys',
        'warmup_at',
    )

    def __init__(
        self, target: Target, at: float, *, has_joined: bool = False
    ) -> None:
        """Take whether others of its service worked before it came."""
        self.target = target
        self.has_joined = has_joined
        self.own_in_flight = 0
        self.others_in_flight = 0.0
        self.others_at = at
        self.failures = 0.0
        self.failures_at = at
        self.misses = 0
        self.last_latency_ratio = 1.0
        self.pace_at = at
        self.cold_until = at + target.cold_remaining_s
        self.cold_bucket: TokenBucket | None = None
        self.warmup_at = float('-inf')
        self.warm_keys: OrderedDict[str, None] = OrderedDict()

    def update_target(self, target: Target, at: float) -> None:
        """Take a new entry of the same target."""
        is_restarted = (
            target.started_at_unix_ms != self.target.started_at_unix_ms
        )
        if is_restarted:
            self.warm_keys.clear()
            self.misses = 0
        if (
            is_restarted
            or target.cold_remaining_s != self.target.cold_remaining_s
        ):
            self.mark_cold(target.cold_remaining_s, at)
        self.target = target

    def mark_cold(self, seconds: float, at: float) -> None:
        """Take it for cold for some seconds."""
        self.cold_until = max(self.cold_until, at + seconds)

    def record_absence(self, at: float) -> None:
        """Note that it was not there."""
        self.misses += 1
        self.record_failure(at)

    @property
    def is_absent(self) -> bool:
        """Tell whether it was not there the last few times."""
        return self.misses >= ABSENT_AFTER_FAILURES

    def needs_warmup(self, at: float) -> bool:
        """Tell whether it joined others and was given nothing lately."""
        is_due = at - self.warmup_at >= WARMUP_SPACING_S
        return self.has_joined and is_due and not self.warm_keys

    def is_cold(self, at: float) -> bool:
        """Tell whether it bears few requests only, or will once it is back."""
        return self.is_absent or at < self.cold_until

    def in_flight(self, at: float) -> float:
        """Estimate the requests that it runs or queues."""
        return self.own_in_flight + _decay(
            self.others_in_flight, at - self.others_at, OTHERS_HALF_LIFE_S
        )

    def failure_score(self, at: float) -> float:
        """Return how many failures weigh on it now."""
        return _decay(self.failures, at - self.failures_at, FAILURE_HALF_LIFE_S)

    def latency_ratio(self, at: float) -> float:
        """Return how many times as long as usual it takes now."""
        excess = _decay(
            self.last_latency_ratio - 1.0,
            at - self.pace_at,
            FAILURE_HALF_LIFE_S,
        )
        return 1.0 + excess

    def update_load(self, load: TargetLoad, at: float) -> None:
        """Take what it said of its load; own requests are known better."""
        total = load.running + load.queued
        self._guess_others(max(0.0, total - self.own_in_flight), at)

    def record_rejection(self, at: float) -> None:
        """Note that it rejected a request for want of room."""
        self._guess_others(REJECTION_LOAD_FACTOR * self.target.slots, at)

    def record_success(self, at: float, object_key: str | None) -> None:
        """Note an answer."""
        if self.is_absent:
            self.mark_cold(RETURN_COLD_S, at)
        self.misses = 0
        self.failures = self.failure_score(at) / 2
        self.failures_at = at
        if object_key is not None:
            self.warm_keys[object_key] = None
            self.warm_keys.move_to_end(object_key)
            if len(self.warm_keys) > MAX_WARM_KEYS:
                self.warm_keys.popitem(last=False)

    def record_failure(self, at: float) -> None:
        """Note a failure."""
        self.failures = self.failure_score(at) + 1.0
        self.failures_at = at

    def record_latency_ratio(self, ratio: float, at: float) -> None:
        """Take how many times as long as usual a request took."""
        clipped = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        now = self.latency_ratio(at)
        self.last_latency_ratio = now + LATENCY_RATIO_SMOOTHING * (
            clipped - now
        )
        self.pace_at = at

    def _guess_others(self, others: float, at: float) -> None:
        self.others_in_flight = others
        self.others_at = at


def _decay(level: float, seconds: float, half_s: float) -> float:
    return float(level * 0.5 ** (max(0.0, seconds) / half_s))
