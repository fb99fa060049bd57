"""Own the judgement of targets: poll their reports, tell the pool."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

from currantspur.decisions.health import HealthJudge
from currantspur.errors import TargetError
from currantspur.messages import (
    Decision,
    Evidence,
    ExchangeEnd,
    HealthReport,
    HealthVerdict,
    HealthVerdicts,
    InForce,
    Target,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task

POLL_S = 2.0
NEVER_S = 1e9


class HealthPort(ABC):
    """Ask targets for their health reports."""

    __slots__ = ()

    @abstractmethod
    async def ask(self, target: Target) -> HealthReport:
        """Return the report of a target or raise TargetError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HealthTask(Task):
    """Poll the targets of this zone and pass verdicts on."""

    __slots__ = (
        'availability_zone',
        'clock',
        'instance',
        'journal',
        'judge',
        'pool',
        'port',
        'states',
        'targets',
        'version',
    )

    def __init__(
        self,
        *,
        port: HealthPort,
        clock: Clock,
        availability_zone: str,
        instance: str,
        pool: Mailbox,
        journal: Mailbox,
    ) -> None:
        super().__init__()
        self.port = port
        self.clock = clock
        self.availability_zone = availability_zone
        self.instance = instance
        self.pool = pool
        self.journal = journal
        self.judge = HealthJudge()
        self.targets: tuple[Target, ...] = ()
        self.states: dict[str, str] = {}
        self.version: InForce | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self.receive(self.mailbox.drain())
            await self.poll()
            await self.clock.sleep(POLL_S)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Take versions and ends of exchanges."""
        for letter in letters:
            message = letter.message
            if isinstance(message, InForce):
                self._apply(message)
            elif isinstance(message, ExchangeEnd):
                self.judge.note(message, self.clock.now())

    async def poll(self) -> None:
        """Ask every target of this zone, then judge."""
        await asyncio.gather(*map(self._ask, self.targets))
        verdicts = list(self.judge.judge(self.clock.now()))
        by_target = {verdict.target: verdict for verdict in verdicts}
        self.pool.post(HealthVerdicts(by_target=by_target))
        for verdict in verdicts:
            self._record(verdict)

    async def _ask(self, target: Target) -> None:
        try:
            report = await self.port.ask(target)
        except TargetError:
            return
        if report.target == target.name:
            self.judge.accept(report, self.clock.now())

    def _apply(self, version: InForce) -> None:
        self.version = version
        self.targets = tuple(
            target
            for target in version.configuration.targets
            if target.availability_zone == self.availability_zone
        )
        self.judge.follow(target.name for target in self.targets)

    def _record(self, verdict: HealthVerdict) -> None:
        before = self.states.get(verdict.target, 'unknown')
        self.states[verdict.target] = verdict.state
        if before == verdict.state or self.version is None:
            return
        age_s = verdict.report_age_s
        self.journal.post(
            Decision(
                at_s=self.clock.unix(),
                instance=self.instance,
                kind='health',
                subject=verdict.target,
                action=f'judged {verdict.state}, was {before}',
                reason=verdict.reason,
                evidence=(
                    Evidence(
                        name='report',
                        reading=verdict.reason,
                        age_s=NEVER_S if age_s is None else age_s,
                    ),
                ),
                version=self.version.head.version,
                author=self.version.head.author,
            )
        )
