"""Decide who may vouch for a version and what a majority proves."""

from collections import Counter
from collections.abc import Iterable, Mapping

from currantspur.decisions.relays import rank_instances
from currantspur.messages import (
    Instance,
    ProofAnswer,
    WriteAcknowledgement,
    WriteIntent,
)

# The largest odd set that a fleet of that many live instances can fill.
SET_SIZES = (5, 3, 1)


class Witness:
    """Remember the intended writes that one incarnation acknowledged.

    It answers only between a finished registration and the next: then every
    write acknowledged earlier has either landed or can land no more.
    """

    __slots__ = ('intents', 'name', 'newest', 'row_version')

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.newest = 0
        self.row_version: int | None = None
        self.intents: dict[str, WriteIntent] = {}

    def observe(self, version: int) -> None:
        """Note that a version exists; writes on older ones are settled."""
        self.newest = max(self.newest, version)
        self.intents = {
            change_id: intent
            for change_id, intent in self.intents.items()
            if intent.base_version >= self.newest
        }

    def acknowledge(self, intent: WriteIntent) -> WriteAcknowledgement:
        """Accept a write on the newest version and keep it open."""
        accepted = (
            self.row_version is not None and intent.base_version >= self.newest
        )
        if accepted:
            self.intents[intent.change_id] = intent
        return WriteAcknowledgement(
            answerer=self.name,
            accepted=accepted,
            row_version=self.row_version or 0,
        )

    def vouches(self, version: int) -> bool:
        """Tell whether no write on a version can have been committed."""
        return (
            self.row_version is not None
            and not self.intents
            and self.newest <= version
        )

    def begin_registration(self) -> None:
        """Fall silent until the new row was written and the head read."""
        self.row_version = None

    def finish_registration(self, row_version: int, newest: int) -> None:
        """Forget acknowledged writes: they landed or can land no more."""
        self.intents.clear()
        self.observe(newest)
        self.row_version = row_version


def count_majority(size: int) -> int:
    """Return how many of a set are more than half; none of an empty one."""
    return size // 2 + 1 if size else 0


def proves(
    version: int,
    committers: Mapping[str, str],
    answers: Iterable[ProofAnswer],
) -> bool:
    """Tell whether answers prove that a version is the newest."""
    vouching = {
        answer.answerer
        for answer in answers
        if answer.vouches
        and answer.version <= version
        and answer.answerer in committers
    }
    needed = count_majority(len(committers))
    return needed > 0 and len(vouching) >= needed


def choose_committers(
    held: Mapping[str, str], instances: Iterable[Instance]
) -> dict[str, str]:
    """Return a set spread over zones that keeps the live ones it held."""
    live = [one for one in instances if one.state == 'live']
    size = next((size for size in SET_SIZES if size <= len(live)), 0)
    kept = [one for one in live if held.get(one.name) == one.peer]
    chosen = _spread(kept, [], size)
    chosen = _spread(live, chosen, size)
    return {one.name: one.peer for one in chosen}


def _spread(
    candidates: Iterable[Instance], chosen: list[Instance], size: int
) -> list[Instance]:
    taken = list(chosen)
    left = [
        one
        for one in rank_instances(candidates, 'committer')
        if one not in taken
    ]
    while left and len(taken) < size:
        crowd = Counter(one.availability_zone for one in taken)
        emptiest = min(crowd[one.availability_zone] for one in left)
        found = next(
            one for one in left if crowd[one.availability_zone] == emptiest
        )
        left.remove(found)
        taken.append(found)
    return taken
