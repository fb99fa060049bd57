"""Own the parts that are in effect while plans change."""

from collections.abc import Iterable, Sequence

from currantspur.decisions.limits import cap_plan
from currantspur.decisions.window import PlanWindow
from currantspur.messages import InForce, Message, Part, Parts, Plan
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task
from currantspur.tasks.waiting import wait_and_learn

IDLE_S = 3600.0


class AllotmentTask(Task):
    """Shrink parts at once, let them grow when no peer may hold more."""

    __slots__ = ('clock', 'instance', 'readers', 'told', 'window')

    def __init__(
        self,
        *,
        instance: str,
        clock: Clock,
        freshness_s: float,
        readers: Sequence[Mailbox],
    ) -> None:
        super().__init__()
        self.instance = instance
        self.clock = clock
        self.readers = readers
        self.window = PlanWindow(freshness_s=freshness_s)
        self.told: Parts | None = None

    async def run(self) -> None:
        """Receive versions, and wake when an older one stops to count."""
        while True:
            await wait_and_learn(
                self.mailbox, self.clock, self._find_pause_s(), self.learn
            )
            self.tell()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Learn versions, then tell the parts if they changed."""
        for letter in letters:
            self.learn(letter.message)
        self.tell()

    def learn(self, message: Message) -> bool:
        """Take a version; tell whether parts may have changed."""
        if not isinstance(message, InForce):
            return False
        skipped = message.skipped
        return self.window.learn(
            message.head.version,
            self._cap(message, message.plan),
            self.clock.now(),
            None
            if skipped is None
            else [self._cap(message, plan) for plan in skipped],
        )

    def tell(self) -> None:
        """Tell the parts in effect if they are not those told before."""
        parts = Parts(
            by_limit=self.window.settle(self.clock.now()),
            version=self.window.version,
        )
        if parts != self.told:
            self.told = parts
            for reader in self.readers:
                reader.post(parts)

    def _cap(self, version: InForce, plan: Plan) -> dict[str, Part]:
        return cap_plan(plan, version.configuration, self.instance)

    def _find_pause_s(self) -> float:
        change = self.window.next_change()
        if change is None:
            return IDLE_S
        return max(0.0, change - self.clock.now())
