"""Model targets: slots, a queue in order, objects that they remember."""

import heapq
from collections import OrderedDict

from currantspur.messages import Target

# As the users' targets: a few objects are remembered, a known one is done in
# this share of the work, and a full queue rejects.
KNOWN_OBJECTS = 25
KNOWN_SHARE = 0.3
QUEUE_FACTOR = 4


class ModelTarget:
    """Say when a request that is given now would be done."""

    __slots__ = ('cached_objects', 'running', 'slot_free_at', 'target')

    def __init__(self, target: Target) -> None:
        self.target = target
        # When each slot is free again, the soonest first.
        self.slot_free_at = [0.0 for _ in range(target.slots)]
        self.running: list[float] = []
        self.cached_objects: OrderedDict[str, None] = OrderedDict()

    def count(self, at: float) -> int:
        """Return the requests that it runs or queues."""
        while self.running and self.running[0] <= at:
            heapq.heappop(self.running)
        return len(self.running)

    def submit(self, at: float, object_key: str, work_s: float) -> float | None:
        """Take a request; return when it is done, None if it is rejected."""
        if self.count(at) >= QUEUE_FACTOR * self.target.slots:
            return None
        share = KNOWN_SHARE if object_key in self.cached_objects else 1.0
        self._remember(object_key)
        begun_at = max(at, heapq.heappop(self.slot_free_at))
        done_at = begun_at + work_s * share
        heapq.heappush(self.slot_free_at, done_at)
        heapq.heappush(self.running, done_at)
        return done_at

    def _remember(self, object_key: str) -> None:
        self.cached_objects[object_key] = None
        self.cached_objects.move_to_end(object_key)
        if len(self.cached_objects) > KNOWN_OBJECTS:
            self.cached_objects.popitem(last=False)
