"""Log which part of the requests of each rank is admitted."""

from collections.abc import Iterable, Mapping

from currantspur.decisions.overload import AdmittedShares
from currantspur.tasks.journal import Journal


def log_admitted_shares(
    journal: Journal, changed: Iterable[AdmittedShares]
) -> None:
    """Write a line for each service whose shares changed much."""
    for admitted in changed:
        journal.note(
            'overload',
            service=admitted.service,
            shares=_round_by_rank(admitted.shares),
            busy_slots=_round_by_rank(admitted.busy_slots),
            slots=round(admitted.slots, 1),
        )


def _round_by_rank(amounts: Mapping[int, float]) -> dict[str, float]:
    return {str(rank): round(amount, 2) for rank, amount in amounts.items()}
