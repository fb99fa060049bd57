"""Own the table of entry instances and answer look-ups."""

from collections.abc import Iterable

from currantspur.decisions.nearness import EntryTable
from currantspur.messages import InForce, LookupQuery, Membership
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
            elif isinstance(message, InForce):
                self.table.configure(message.configuration)
            elif isinstance(message, Membership):
                self.table.replace(message.instances)
        answers = self.pipeline.run(query.message for query in asked)
        for query, answer in zip(asked, answers, strict=True):
            query.answer(answer)
