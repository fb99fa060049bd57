"""Decide whether a failed request may be sent again."""

DEPOSIT = 0.1
RESERVE = 10.0
DEPOSIT_LIMIT = 100.0


class RetryBudget:
    """Allow retries up to a fraction of the traffic."""

    __slots__ = ('deposit', 'level', 'limit')

    def __init__(
        self,
        *,
        deposit: float = DEPOSIT,
        reserve: float = RESERVE,
        limit: float = DEPOSIT_LIMIT,
    ) -> None:
        """Take retries earned by a request, had at first and kept at most."""
        self.deposit = deposit
        self.level = reserve
        self.limit = limit

    def earn(self) -> None:
        """Note a first attempt."""
        self.level = min(self.limit, self.level + self.deposit)

    def spend(self) -> bool:
        """Take one retry if one is left."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def may_send_again(
    *, idempotent: bool, sent: bool, replayable: bool, left_s: float
) -> bool:
    """Tell whether another attempt is safe and has time."""
    is_safe = idempotent or not sent
    return is_safe and replayable and left_s > 0
