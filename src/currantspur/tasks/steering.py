"""Own the table of entry instances and answer look-ups."""

from collections.abc import Iterable

from currantspur.decisions.drain_plan import DrainProgress, tell_progress
from currantspur.decisions.nearness import EntryTable
from currantspur.decisions.steerer import Steerer
from currantspur.messages import (
    BlockChange,
    InForce,
    LoadReport,
    LookupQuery,
    Membership,
    Message,
    name_team_limit,
)
from currantspur.messages.operators import DrainQuery
from currantspur.pipelines import assemble_lookup
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task


class SteeringTask(Task):
    """Run queries through the look-up pipeline; step the flows."""

    __slots__ = (
        'clock',
        'instance',
        'journal',
        'pipeline',
        'steerer',
        'table',
        'version',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        journal: Mailbox,
        instance: str,
        freshness_s: float,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.journal = journal
        self.instance = instance
        self.version: InForce | None = None
        self.steerer = Steerer(freshness_s=freshness_s)
        self.table = EntryTable()
        self.pipeline = assemble_lookup(self.table)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Apply versions and members, then answer the queries."""
        asked: list[Letter] = []
        for letter in letters:
            message = letter.message
            if isinstance(message, LookupQuery):
                asked.append(letter)
            elif isinstance(message, DrainQuery):
                letter.answer(self.tell_drains())
            else:
                self.learn(message)
        self._step()
        answers = self.pipeline.run(query.message for query in asked)
        for query, answer in zip(asked, answers, strict=True):
            query.answer(answer)

    def learn(self, message: Message) -> None:
        """Apply a version, changed blocks, members or a load report."""
        if isinstance(message, InForce):
            self.version = message
            self.table.configure(message.configuration)
            self.table.hold(list_holders(message))
            self.steerer.configure(message.configuration)
            self._follow_zones()
        elif isinstance(message, BlockChange):
            self.table.change(message)
        elif isinstance(message, Membership):
            self.table.replace(message.instances)
            self._follow_zones()
        elif isinstance(message, LoadReport):
            self.steerer.accept(message)

    def tell_drains(self) -> list[DrainProgress]:
        """Return how far each drain of a zone or region is."""
        configuration = self.steerer.configuration
        unix_s = self.clock.unix()
        return [
            tell_progress(configuration, drain, self.steerer.flows, unix_s)
            for drain in configuration.drains
            if drain.scope != 'target'
        ]

    def _follow_zones(self) -> None:
        live = frozenset(self.table.spread.instances)
        self.steerer.replace(live, self.clock.now())

    def _step(self) -> None:
        before = self.steerer.flows
        decision = self.steerer.advance(self.clock.now(), self.clock.unix())
        if self.steerer.flows != before:
            self.table.steer(self.steerer.flows)
        if decision is None or self.version is None:
            return
        decision.instance = self.instance
        decision.version = self.version.head.version
        decision.author = self.version.head.author
        self.journal.post(decision)


def list_holders(version: InForce) -> dict[str, dict[str, float]]:
    """Return the part of each instance in each team's rate."""
    teams = {
        name_team_limit(team.name): team.name
        for team in version.configuration.teams
    }
    holders: dict[str, dict[str, float]] = {}
    for each in version.plan.allotments:
        team = teams.get(each.limit)
        if team is not None:
            parts = holders.setdefault(team, {})
            parts[each.instance] = each.part.rate
    return holders
