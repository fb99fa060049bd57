"""Own the table of entry instances and answer look-ups."""

from collections.abc import Iterable

from currantspur.decisions.nearness import EntryTable
from currantspur.messages import (
    BlockChange,
    InForce,
    LookupQuery,
    Membership,
    Message,
    name_team_limit,
)
from currantspur.pipelines import assemble_lookup
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task


class SteeringTask(Task):
    """Run queries through the look-up pipeline."""

    __slots__ = ('pipeline', 'table')

    def __init__(self) -> None:
        super().__init__()
        self.table = EntryTable()
        self.pipeline = assemble_lookup(self.table)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Apply versions and members, then answer the queries."""
        asked: list[Letter] = []
        for letter in letters:
            message = letter.message
            if isinstance(message, LookupQuery):
                asked.append(letter)
            else:
                self.learn(message)
        answers = self.pipeline.run(query.message for query in asked)
        for query, answer in zip(asked, answers, strict=True):
            query.answer(answer)

    def learn(self, message: Message) -> None:
        """Apply a version, changed blocks or members."""
        if isinstance(message, InForce):
            self.table.configure(message.configuration)
            self.table.hold(list_holders(message))
        elif isinstance(message, BlockChange):
            self.table.change(message)
        elif isinstance(message, Membership):
            self.table.replace(message.instances)


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
