"""Model of a target: slots, a first-in first-out queue and a cache."""

import heapq
from collections import OrderedDict

from currantspur.messages import Target

# Like the targets of users: a target caches a few objects, a request for a
# cached object takes this share of the work, and requests beyond the limit per
# slot are rejected.
MAX_CACHED_OBJECTS = 25
CACHED_WORK_SHARE = 0.3
MAX_IN_FLIGHT_PER_SLOT = 4


class ModelTarget:
    """Compute when requests finish, in seconds of simulated time."""

    __slots__ = ('cached_objects', 'finish_times', 'slot_free_at', 'target')

    def __init__(self, target: Target) -> None:
        self.target = target
        # Heap of the times at which each slot becomes free.
        self.slot_free_at = [0.0 for _ in range(target.slots)]
        # Heap of the finish times of requests that run or are queued.
        self.finish_times: list[float] = []
        self.cached_objects: OrderedDict[str, None] = OrderedDict()

    def count_in_flight(self, at: float) -> int:
        """Return the number of requests that run or are queued.

        `at` must not decrease from call to call.
        """
        while self.finish_times and self.finish_times[0] <= at:
            heapq.heappop(self.finish_times)
        return len(self.finish_times)

    def submit(self, at: float, object_key: str, work_s: float) -> float | None:
        """Add a request; return its finish time, None if it is rejected.

        work_s is the work in seconds for an object that is not cached.
        """
        if (
            self.count_in_flight(at)
            >= MAX_IN_FLIGHT_PER_SLOT * self.target.slots
        ):
            return None
        work_share = (
            CACHED_WORK_SHARE if object_key in self.cached_objects else 1.0
        )
        self._cache_object(object_key)
        started_at = max(at, heapq.heappop(self.slot_free_at))
        finish_at = started_at + work_s * work_share
        heapq.heappush(self.slot_free_at, finish_at)
        heapq.heappush(self.finish_times, finish_at)
        return finish_at

    def _cache_object(self, object_key: str) -> None:
        self.cached_objects[object_key] = None
        self.cached_objects.move_to_end(object_key)
        if len(self.cached_objects) > MAX_CACHED_OBJECTS:
            self.cached_objects.popitem(last=False)
