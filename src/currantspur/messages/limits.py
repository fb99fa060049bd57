"""Define the limits that hold for all instances together."""

from currantspur.messages.base import Message


class FleetLimits(Message):
    """Bound what all instances together may do."""

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
        """Take repeats a request, the window, and the time to stop in.

        The cap is the share of a region's requests that may change the region
        in which they run within two seconds.
        """
        self.shift_cap = shift_cap
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.grace_s = grace_s
