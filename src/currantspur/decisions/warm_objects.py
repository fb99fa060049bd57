"""Remember the objects that targets are warm for, as many as they keep.

A target keeps few objects and drops the one not used for longest. An object
that it dropped must not count as warm there.
"""

from collections import OrderedDict
from itertools import accumulate, chain

# Objects remembered for each target until it is learned how many it keeps.
MAX_WARM_OBJECTS = 128
# A response that took as long as cold work although fewer than this many other
# objects were used since has another reason, such as a queue.
MIN_WARM_OBJECTS = 4
# Another number must have been right for this many responses more than the
# present one. Single responses are late for other reasons.
MIN_ADVANTAGE = 4.0
# Earlier responses count half once this many were seen: a release may change
# how many objects targets keep.
SAMPLES_KEPT = 400


class WarmCapacity:
    """Learn how many objects the targets of a service keep warm.

    The targets of a service run the same program, so what one shows holds for
    all. The age of an object at a target is the number of other objects used
    there since. What counts is what this instance knows of: it sees a part of
    the requests, and the number that it learns is correspondingly smaller.
    """

    __slots__ = ('limit', 'net_warm_by_age', 'sample_count')

    def __init__(self) -> None:
        self.limit = MAX_WARM_OBJECTS
        # Responses as fast as warm ones less those as slow as cold ones.
        self.net_warm_by_age = [0.0 for _ in range(MAX_WARM_OBJECTS)]
        self.sample_count = 0

    def record(self, age: int, *, was_warm: bool) -> None:
        """Count a response for an object of this age."""
        if age < MIN_WARM_OBJECTS:
            return
        if self.sample_count >= SAMPLES_KEPT:
            self.sample_count //= 2
            self.net_warm_by_age = [net / 2 for net in self.net_warm_by_age]
        self.sample_count += 1
        self.net_warm_by_age[age] += 1.0 if was_warm else -1.0
        # By limit: how many more responses it described rightly than a limit of
        # 0 would have.
        advantages = list(accumulate(self.net_warm_by_age, initial=0.0))
        best = max(advantages[MIN_WARM_OBJECTS:])
        if best - advantages[self.limit] >= MIN_ADVANTAGE:
            # The largest of the best: nothing speaks against it.
            self.limit = max(
                limit
                for limit in range(MIN_WARM_OBJECTS, MAX_WARM_OBJECTS + 1)
                if advantages[limit] >= best
            )


class WarmObjects:
    """The objects that one target is probably warm for."""

    __slots__ = ('capacity', 'forgotten', 'recent')

    def __init__(self) -> None:
        # Shared by the targets of a service.
        self.capacity = WarmCapacity()
        # The least recently used first. All forgotten ones were used before
        # the recent ones; requests for them show whether targets keep more.
        self.recent: OrderedDict[str, None] = OrderedDict()
        self.forgotten: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, object_key: str | None) -> bool:
        """Tell whether the target is probably warm for an object."""
        return object_key in self.recent

    def __len__(self) -> int:
        """Return the number of objects that it is probably warm for."""
        return len(self.recent)

    def add(self, object_key: str) -> None:
        """Count a use of an object; forget those that the target dropped."""
        self.forgotten.pop(object_key, None)
        self.recent[object_key] = None
        self.recent.move_to_end(object_key)
        while len(self.recent) > self.capacity.limit:
            oldest, _ = self.recent.popitem(last=False)
            self.forgotten[oldest] = None
        while len(self.recent) + len(self.forgotten) > MAX_WARM_OBJECTS:
            self.forgotten.popitem(last=False)

    def clear(self) -> None:
        """Forget all objects, as after a restart of the target."""
        self.recent.clear()
        self.forgotten.clear()

    def find_age(self, object_key: str) -> int | None:
        """Return how many others were used since; None if it is not known."""
        newest_first = chain(reversed(self.recent), reversed(self.forgotten))
        for age, known in enumerate(newest_first):
            if known == object_key:
                return age
        return None
