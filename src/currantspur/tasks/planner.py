"""Plan how limits are split, on the one instance chosen for it."""

from collections import Counter
from collections.abc import Iterable
from uuid import uuid4

from loguru import logger

from currantspur.decisions.planning import plan_limits, rank_members
from currantspur.errors import PlatformError
from currantspur.messages import (
    Change,
    Configuration,
    Decision,
    Evidence,
    Head,
    InForce,
    Instance,
    Membership,
    Message,
    Plan,
)
from currantspur.platform.plans import PLAN_SECTION, encode_plan
from currantspur.tasks.clock import Clock
from currantspur.tasks.committer import Committer
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task
from currantspur.tasks.waiting import wait_and_learn

TICK_S = 0.1
IDLE_S = 3600.0
PLAN_S = 3.0
RETRY_S = 0.5
# A change of members or configuration is waited for this long, to batch.
BATCH_S = 0.2
# The next in rank plans when the chosen one has not for this time.
TAKEOVER_S = 4.0
PLANNERS = 3
SUBJECT = 'planner'
CONFIGURED = 'configuration changed'
JOINED = 'an instance joined'
URGENT = frozenset((CONFIGURED, JOINED))
# An instance that just started may not have seen all members yet.
YOUNG_S = 5.0


class Planner(Task):
    """Commit a new plan when members or configuration changed."""

    __slots__ = (
        'clock',
        'committer',
        'configuration',
        'counts',
        'head',
        'instance',
        'journal',
        'members',
        'needed_at',
        'plan',
        'planned_at',
        'rank',
        'reason',
        'started_at',
    )

    def __init__(
        self,
        *,
        instance: str,
        clock: Clock,
        journal: Mailbox,
    ) -> None:
        super().__init__()
        self.instance = instance
        self.clock = clock
        self.committer: Committer | None = None
        self.journal = journal
        self.head: Head | None = None
        self.configuration = Configuration()
        self.plan = Plan()
        self.members: tuple[Instance, ...] = ()
        self.planned_at = float('-inf')
        self.rank = PLANNERS
        self.started_at = clock.now()
        self.needed_at: float | None = None
        self.reason = ''
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Receive what changes, and plan where it is needed."""
        while True:
            await wait_and_learn(
                self.mailbox,
                self.clock,
                TICK_S if self.is_waiting() else IDLE_S,
                self.learn,
            )
            if self.is_due():
                await self.commit()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note versions and members."""
        for letter in letters:
            self.learn(letter.message)

    def learn(self, message: Message) -> bool:
        """Note what a message says; tell whether a plan is first needed now."""
        was_waiting = self.is_waiting()
        if isinstance(message, InForce):
            self._apply(message)
        elif isinstance(message, Membership):
            self.members = message.instances
            self.rank = self._rank()
            self._need(self._describe_members())
        return self.is_waiting() and not was_waiting

    def is_waiting(self) -> bool:
        """Tell whether a plan is needed that this instance may make."""
        return self.needed_at is not None and self.rank < PLANNERS

    def is_due(self) -> bool:
        """Tell whether this instance has to plan now."""
        if self.needed_at is None or self.head is None:
            return False
        now = self.clock.now()
        if self.plan.allotments and now - self.started_at < YOUNG_S:
            return False
        waited_s = now - self.needed_at
        # A new configuration has to be in force within seconds.
        pause_s = RETRY_S if self.reason in URGENT else PLAN_S
        return (
            self.is_waiting()
            and waited_s >= BATCH_S + self.rank * TAKEOVER_S
            and now - self.planned_at >= pause_s
        )

    async def commit(self) -> None:
        """Commit a plan if it differs; whoever loses a race learns of it."""
        plan = plan_limits(self.configuration, self.members, {}, self.plan)
        body = encode_plan(plan)
        head = self.head
        committer = self.committer
        if head is None or committer is None:
            return
        if body == encode_plan(self.plan):
            self.needed_at = None
            return
        self.planned_at = self.clock.now()
        self.counts['plans'] += 1
        try:
            committed = await committer.commit(
                Change(
                    change_id=uuid4().hex,
                    base_version=head.version,
                    sections={PLAN_SECTION: body},
                    author=f'planner at {self.instance}',
                    note=self.reason,
                )
            )
        except PlatformError as error:
            self.counts['lost'] += 1
            logger.debug('plan not committed: {}', error)
        else:
            self.needed_at = None
            self._record(committed, plan)

    def _apply(self, version: InForce) -> None:
        if self.head and version.head.version <= self.head.version:
            return
        if version.configuration != self.configuration:
            self._need(CONFIGURED)
        if version.plan != self.plan:
            self.planned_at = self.clock.now()
        self.head = version.head
        self.configuration = version.configuration
        self.plan = version.plan

    def _need(self, reason: str) -> None:
        if self.needed_at is None:
            self.needed_at = self.clock.now()
            self.reason = reason
        elif reason in URGENT:
            self.reason = reason

    def _describe_members(self) -> str:
        holders = {one.instance for one in self.plan.allotments}
        live = {one.name for one in self.members if one.state == 'live'}
        return JOINED if live - holders else 'members changed'

    def _rank(self) -> int:
        live = [one for one in self.members if one.state == 'live']
        names = [one.name for one in rank_members(SUBJECT, live)]
        if self.instance not in names:
            return PLANNERS
        return names.index(self.instance)

    def _record(self, head: Head, plan: Plan) -> None:
        count = len(plan.allotments)
        self.journal.post(
            Decision(
                at_s=self.clock.unix(),
                instance=self.instance,
                kind='plan',
                subject=f'version {head.version}',
                action=f'split {len(plan.totals)} limits into {count} parts',
                reason=self.reason,
                evidence=(
                    Evidence(
                        name='members',
                        reading=str(len(self.members)),
                        age_s=0.0,
                    ),
                ),
                version=head.version,
                author=head.author,
            )
        )
