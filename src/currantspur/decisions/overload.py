"""Admit a part of the requests of each rank while a service is overloaded.

It answers callers that together ask for more work than all targets of a service
can run. Without a bound where requests enter, the queues of all targets fill,
requests reach their deadlines in them, and objects move to targets that are
cold for them, which makes all work longer.
"""

from collections.abc import Iterator, Mapping

from currantspur.messages import make_rank_key
from currantspur.messages.base import Message

# Work that is admitted for each slot. The work of a request is estimated by the
# mean of late, which is up to three times too high while objects become warm: a
# lower bound refused requests that targets could still run in time.
MAX_WORK_PER_SLOT = 2.0
# Each rank gets at least this part of the share that all would get together, so
# that none starves.
MIN_SHARE_FACTOR = 0.4
# Shares are logged when one has changed by at least this much.
LOGGED_SHARE_STEP = 0.1
# Work that is rounding of an idle service.
MIN_BUSY_SLOTS = 0.01


class AdmittedShares(Message):
    """The admitted shares of the ranks of a service, from 0 to 1.

    ``busy_slots`` is what all requests ask for by rank, ``slots`` what targets
    have. The names of the fields are written to the log.
    """

    __slots__ = ('busy_slots', 'service', 'shares', 'slots')

    def __init__(
        self,
        *,
        service: str,
        shares: Mapping[int, float],
        busy_slots: Mapping[int, float],
        slots: float,
    ) -> None:
        self.service = service
        self.shares = shares
        self.busy_slots = busy_slots
        self.slots = slots


def share_slots(
    busy_slots: Mapping[int, float], slots: float
) -> dict[int, float]:
    """Return the admitted share of each rank, from 0 to 1.

    The most urgent rank, 0, comes first. The admitted work is
    at most MAX_WORK_PER_SLOT for each slot.
    """
    room = MAX_WORK_PER_SLOT * slots
    total = sum(busy_slots.values())
    # Without any target placement refuses, and says so.
    if slots <= 0 or total <= max(room, MIN_BUSY_SLOTS):
        return dict.fromkeys(busy_slots, 1.0)
    least_share = MIN_SHARE_FACTOR * room / total
    room -= least_share * total
    shares: dict[int, float] = {}
    for rank in sorted(busy_slots):
        wanted = (1 - least_share) * busy_slots[rank]
        granted = min(wanted, room)
        room -= granted
        shares[rank] = least_share + granted / max(
            MIN_BUSY_SLOTS, busy_slots[rank]
        )
    return shares


class ServiceAdmission:
    """Admit the share of each rank of one service."""

    __slots__ = ('credits', 'logged', 'shares')

    def __init__(self) -> None:
        """Admit all requests until the load is known."""
        self.shares: dict[int, float] = {}
        self.logged: dict[int, float] = {}
        # The part of a request that is due, by rank.
        self.credits: dict[int, float] = {}

    def admits(self, rank: int) -> bool:
        """Tell whether the next request of a rank is admitted."""
        credit = self._next_credit(rank)
        self.credits[rank] = credit - int(credit)
        return credit >= 1

    def would_admit(self, rank: int) -> bool:
        """Tell what admits() would return, without counting a request."""
        return self._next_credit(rank) >= 1

    def find_share(self, rank: int) -> float:
        """Return the admitted share of a rank."""
        return self.shares.get(rank, 1.0)

    def take_change(self) -> bool:
        """Tell whether a share changed much since this was last true."""
        is_changed = any(
            abs(share - self.logged.get(rank, 1.0)) >= LOGGED_SHARE_STEP
            for rank, share in self.shares.items()
        )
        if is_changed:
            self.logged = dict(self.shares)
        return is_changed

    def _next_credit(self, rank: int) -> float:
        share = self.find_share(rank)
        return 1.0 if share >= 1 else self.credits.get(rank, 0.0) + share


class OverloadTable:
    """The admission of all services whose requests have several ranks.

    All instances compute the same shares from the same reports.
    """

    __slots__ = ('by_service',)

    def __init__(self) -> None:
        self.by_service: dict[str, ServiceAdmission] = {}

    def find(self, service: str) -> ServiceAdmission:
        """Return the admission of a service, which may admit all requests."""
        return self.by_service.get(service) or ServiceAdmission()

    def update(
        self,
        ranks_by_service: Mapping[str, tuple[int, ...]],
        busy_slots_by_rank: Mapping[str, float],
        slots_by_service: Mapping[str, float],
    ) -> Iterator[AdmittedShares]:
        """Compute all shares anew; yield those that changed much."""
        self.by_service = {
            service: self.by_service.get(service, ServiceAdmission())
            for service in ranks_by_service
        }
        for service, ranks in ranks_by_service.items():
            busy_slots = {
                rank: busy_slots_by_rank.get(make_rank_key(service, rank), 0.0)
                for rank in ranks
            }
            admission = self.by_service[service]
            slots = slots_by_service.get(service, 0.0)
            admission.shares = share_slots(busy_slots, slots)
            if admission.take_change():
                yield AdmittedShares(
                    service=service,
                    shares=dict(admission.shares),
                    busy_slots=busy_slots,
                    slots=slots,
                )

    def find_least_share(self) -> float:
        """Return the least admitted share of any rank of any service."""
        shares = (
            share
            for admission in self.by_service.values()
            for share in admission.shares.values()
        )
        return min(shares, default=1.0)
