"""Track the state of one target from its responses and reported load."""

from currantspur.decisions.decay import decay
from currantspur.decisions.machine_pace import MachinePace
from currantspur.decisions.object_homes import JoiningTime
from currantspur.decisions.rate_share import RateShare
from currantspur.decisions.warm_objects import WarmObjects
from currantspur.messages import Target, TargetLoad

# Without news, the estimate of the requests that other instances have in flight
# halves in this time.
OTHERS_HALF_LIFE_S = 1.0
# Half-life of the failure score and of the excess of the latency ratio: a
# failing or slow target is tried again after a few of these.
FAILURE_HALF_LIFE_S = 3.0
# Least time between the first requests, which warm up a target that joined.
WARMUP_SPACING_S = 1.0
# Weight of the newest sample in the smoothed latency ratio.
LATENCY_RATIO_SMOOTHING = 0.3
MAX_LATENCY_RATIO = 20.0
MIN_LATENCY_RATIO = 0.5
# A target that rejects a request holds at least this many requests per slot.
# They are counted as requests of other instances and alone do not make it full
# (QUEUE_FACTOR): it stays a candidate, at a higher cost.
REJECTION_LOAD_FACTOR = 2.0
# A single connection may fail on the network; two attempts that did not reach
# the target since its last success mean that it is absent.
ABSENT_AFTER_UNREACHED = 2
# A target that was absent counts as cold for this long after its first
# response.
RETURN_COLD_S = 3.0


class TargetState:
    """The state of one target as this instance knows it."""

    __slots__ = (
        'cold_until',
        'failure_score_at',
        'has_joined',
        'joining_time',
        'last_failure_score',
        'last_latency_ratio',
        'latency_ratio_at',
        'others_in_flight',
        'others_in_flight_at',
        'own_in_flight',
        'pace',
        'rate_share',
        'target',
        'unreached_attempts',
        'warm_keys',
        'warmup_sent_at',
    )

    def __init__(
        self, target: Target, at: float, *, has_joined: bool = False
    ) -> None:
        """Start with a target row that was read at a given time.

        `has_joined` means that another target of its service was warm for some
        object when this one was first listed. It takes its place in the order
        of objects step by step; after the joining time it is an ordinary one.
        """
        self.target = target
        self.has_joined = has_joined
        self.joining_time = JoiningTime(at, target.cold_remaining_s)
        self.own_in_flight = 0
        self.others_in_flight = 0.0
        self.others_in_flight_at = at
        self.last_failure_score = 0.0
        self.failure_score_at = at
        self.unreached_attempts = 0
        self.last_latency_ratio = 1.0
        self.latency_ratio_at = at
        # Applies on top of the latency ratio, which is the target's own.
        self.pace = MachinePace(at)
        # Counted from when the row was read, which may be later than when the
        # target wrote it.
        self.cold_until = at + target.cold_remaining_s
        # The part of its rate for this instance, while it is cold or limited.
        self.rate_share: RateShare | None = None
        self.warmup_sent_at = float('-inf')
        self.warm_keys = WarmObjects()

    def update_target(self, target: Target, at: float) -> None:
        """Replace the row of the target.

        After a restart it is warm for no object. A restart or a new cold time
        of the row makes it cold.
        """
        is_restarted = (
            target.started_at_unix_ms != self.target.started_at_unix_ms
        )
        if is_restarted:
            self.warm_keys.clear()
            self.unreached_attempts = 0
        if (
            is_restarted
            or target.cold_remaining_s != self.target.cold_remaining_s
        ):
            self.mark_cold(target.cold_remaining_s, at)
        self.target = target

    def mark_cold(self, seconds: float, at: float) -> None:
        """Treat it as cold for at least this many seconds."""
        self.cold_until = max(self.cold_until, at + seconds)

    def record_absence(self, at: float) -> None:
        """Count an attempt that did not reach it, which is a failure too."""
        self.unreached_attempts += 1
        self.record_failure(at)

    @property
    def is_absent(self) -> bool:
        """Tell whether too many attempts did not reach it since a success."""
        return self.unreached_attempts >= ABSENT_AFTER_UNREACHED

    def needs_warmup(self, at: float) -> bool:
        """Tell whether it joined, has no warm object and is due a request."""
        is_due = at - self.warmup_sent_at >= WARMUP_SPACING_S
        is_joining = self.has_joined and not self.joining_time.is_over(at)
        return is_joining and is_due and not self.warm_keys

    def is_cold(self, at: float) -> bool:
        """Tell whether its rate is limited.

        It is limited after a start, and while it is absent, as it will be cold
        once it responds again.
        """
        return self.is_absent or at < self.cold_until

    def in_flight(self, at: float) -> float:
        """Return the estimated number of requests that it runs or queues."""
        return self.own_in_flight + decay(
            self.others_in_flight,
            at - self.others_in_flight_at,
            OTHERS_HALF_LIFE_S,
        )

    def failure_score(self, at: float) -> float:
        """Return the decayed number of recent failures."""
        return decay(
            self.last_failure_score,
            at - self.failure_score_at,
            FAILURE_HALF_LIFE_S,
        )

    def latency_ratio(self, at: float) -> float:
        """Return its current latency as a multiple of the expected one.

        The excess over 1 decays with FAILURE_HALF_LIFE_S.
        """
        excess = decay(
            self.last_latency_ratio - 1.0,
            at - self.latency_ratio_at,
            FAILURE_HALF_LIFE_S,
        )
        return 1.0 + excess

    def update_load(self, load: TargetLoad, at: float) -> None:
        """Update the requests of other instances from the load it reported.

        Own requests are subtracted by the own count, which is more exact.
        """
        self.pace.record(load.pace, at)
        total = load.running + load.queued
        self._set_others_in_flight(max(0.0, total - self.own_in_flight), at)

    def record_rejection(self, at: float) -> None:
        """Assume REJECTION_LOAD_FACTOR requests per slot of other instances."""
        self._set_others_in_flight(
            REJECTION_LOAD_FACTOR * self.target.slots, at
        )

    def record_success(self, at: float, object_key: str | None) -> None:
        """Count a response, which makes the target warm for the object.

        It halves the failure score. A target that was absent is cold for
        RETURN_COLD_S.
        """
        if self.is_absent:
            self.mark_cold(RETURN_COLD_S, at)
        self.unreached_attempts = 0
        self.last_failure_score = self.failure_score(at) / 2
        self.failure_score_at = at
        if object_key is not None:
            add_warm_key(self, object_key)

    def record_failure(self, at: float) -> None:
        """Add 1 to the decayed failure score."""
        self.last_failure_score = self.failure_score(at) + 1.0
        self.failure_score_at = at

    def record_latency_ratio(self, ratio: float, at: float) -> None:
        """Add a sample: the latency of a request over the expected one."""
        sample = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        current = self.latency_ratio(at)
        self.last_latency_ratio = current + LATENCY_RATIO_SMOOTHING * (
            sample - current
        )
        self.latency_ratio_at = at

    def _set_others_in_flight(self, requests: float, at: float) -> None:
        self.others_in_flight = requests
        self.others_in_flight_at = at


def add_warm_key(state: TargetState, object_key: str) -> None:
    """Mark a target as warm for an object."""
    state.warm_keys.add(object_key)
