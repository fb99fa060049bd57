"""Own the admission state: routes, keys, rates and freshness."""

from collections.abc import Iterable

from currantspur.decisions.bucket import Bucket
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing
from currantspur.decisions.routing import RouteTable
from currantspur.messages import (
    Arrival,
    Confirmation,
    InForce,
    Message,
    Parts,
    Proof,
)
from currantspur.pipelines import (
    AdmissionState,
    assemble_admission,
    assemble_confirmation,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task


class AdmissionTask(Task):
    """Run arrivals through the admission pipeline."""

    __slots__ = ('clock', 'confirmation', 'pipeline', 'state')

    def __init__(self, *, clock: Clock, freshness_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.state = AdmissionState(freshness=Freshness(limit_s=freshness_s))
        self.pipeline = assemble_admission(self.state)
        self.confirmation = assemble_confirmation(self.state)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Apply what was learnt first, then judge the arrivals."""
        asked: list[Letter] = []
        arrivals: list[Arrival] = []
        waiting: list[Letter] = []
        confirmations: list[Confirmation] = []
        for letter in letters:
            if isinstance(letter.message, Arrival):
                letter.message.at = self.clock.now()
                asked.append(letter)
                arrivals.append(letter.message)
            elif isinstance(letter.message, Confirmation):
                letter.message.at = self.clock.now()
                waiting.append(letter)
                confirmations.append(letter.message)
            else:
                self.learn(letter.message)
        confirmed = self.confirmation.run(confirmations)
        for letter, confirmation in zip(waiting, confirmed, strict=True):
            letter.answer(confirmation.refusal)
        judged = self.pipeline.run(arrivals)
        for letter, passage in zip(asked, judged, strict=True):
            letter.answer(passage)

    def learn(self, message: Message) -> None:
        """Apply a version, a proof or parts."""
        if isinstance(message, InForce):
            self._apply(message)
        elif isinstance(message, Proof):
            self.state.freshness.accept(message)
        elif isinstance(message, Parts):
            self._resize(message)

    def _apply(self, version: InForce) -> None:
        if version.head.version <= self.state.version:
            return
        self.state.version = version.head.version
        self.state.routes = RouteTable(version.configuration.routes)
        self.state.keys = KeyRing(version.configuration.keys)

    def _resize(self, parts: Parts) -> None:
        now = self.clock.now()
        buckets = self.state.buckets
        for limit in buckets.keys() - parts.by_limit.keys():
            buckets.pop(limit)
        for limit, part in parts.by_limit.items():
            bucket = buckets.get(limit)
            if bucket is None:
                buckets[limit] = Bucket(
                    rate=part.rate, burst=part.burst, at=now
                )
            else:
                bucket.resize(rate=part.rate, burst=part.burst, at=now)
