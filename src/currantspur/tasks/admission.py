"""Own the admission state: routes, keys, rates and freshness."""

from collections.abc import Iterable

from currantspur.decisions.bucket import Bucket
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing
from currantspur.decisions.routing import RouteTable
from currantspur.messages import Arrival, InForce, Message, Proof, Share
from currantspur.pipelines import AdmissionState, assemble_admission
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task


class AdmissionTask(Task):
    """Run arrivals through the admission pipeline."""

    __slots__ = ('clock', 'pipeline', 'state')

    def __init__(self, *, clock: Clock, freshness_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.state = AdmissionState(freshness=Freshness(limit_s=freshness_s))
        self.pipeline = assemble_admission(self.state)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Apply what was learnt first, then judge the arrivals."""
        asked: list[Letter] = []
        arrivals: list[Arrival] = []
        for letter in letters:
            if isinstance(letter.message, Arrival):
                letter.message.at = self.clock.now()
                asked.append(letter)
                arrivals.append(letter.message)
            else:
                self.learn(letter.message)
        judged = self.pipeline.run(arrivals)
        for letter, passage in zip(asked, judged, strict=True):
            letter.answer(passage)

    def learn(self, message: Message) -> None:
        """Apply a version, a proof or a share."""
        if isinstance(message, InForce):
            self._apply(message)
        elif isinstance(message, Proof):
            self.state.freshness.accept(message)
        elif isinstance(message, Share):
            self._resize(message)

    def _apply(self, version: InForce) -> None:
        if version.head.version <= self.state.version:
            return
        self.state.version = version.head.version
        self.state.routes = RouteTable(version.configuration.routes)
        self.state.keys = KeyRing(version.configuration.keys)

    def _resize(self, share: Share) -> None:
        now = self.clock.now()
        buckets = self.state.buckets
        for team in buckets.keys() - share.parts.keys():
            buckets.pop(team)
        for team, (rate, burst) in share.parts.items():
            bucket = buckets.get(team)
            if bucket is None:
                buckets[team] = Bucket(rate=rate, burst=burst, at=now)
            else:
                bucket.resize(rate=rate, burst=burst, at=now)
