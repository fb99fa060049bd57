"""Tell how much of each limit an instance has left."""

from collections.abc import Iterator

from currantspur.decisions.holdings import Holdings
from currantspur.messages.operators import LimitUse


def list_uses(holdings: Holdings, at: float) -> Iterator[LimitUse]:
    """Yield the use of each limit."""
    for limit, allowance in holdings.allowances.items():
        level = allowance.count(at)
        yield LimitUse(
            limit=limit,
            part=allowance.part,
            level=level,
            lent=allowance.count_lent(),
            borrowed=sum(loan.tokens for loan in allowance.borrowed),
            spent=allowance.spent,
        )
