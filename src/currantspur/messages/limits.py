"""Limits that hold for all instances together."""

from currantspur.messages.base import Message


class FleetLimits(Message):
    """Limits of the whole fleet on retries, shutdown and region changes.

    - ``retry_ratio``: retries of a service that are allowed per request.
    - ``retry_slack``: retries of a service that are allowed beyond that in
      any ``retry_window_s`` seconds.
    - ``grace_s``: seconds within which an instance shuts down.
    - ``shift_cap``: share of a region's requests, from 0 to 1, that may
      move to other regions or back within two seconds
      (decisions.region_shift.WINDOW_S).

    To stay within them, instances use only a part of the retries and of the
    shift (EARNED_FACTOR and SLACK_FACTOR in decisions.retries, SAFETY_FACTOR in
    decisions.region_shift).
    """

    __slots__ = (
        'grace_s',
        'retry_ratio',
        'retry_slack',
        'retry_window_s',
        'shift_cap',
    )

    def __init__(
        self,
        *,
        retry_ratio: float = 0.2,
        retry_slack: float = 50.0,
        retry_window_s: float = 10.0,
        grace_s: float = 6.0,
        shift_cap: float = 0.15,
    ) -> None:
        self.shift_cap = shift_cap
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.grace_s = grace_s
