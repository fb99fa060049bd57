"""Own the record of automatic decisions."""

from collections import deque
from collections.abc import Iterable, Iterator

from currantspur.messages import Decision, Question
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

KEPT_DECISIONS = 5_000


class Journal(Task):
    """Keep the latest decisions and answer questions about them."""

    __slots__ = ('decisions',)

    def __init__(self) -> None:
        super().__init__()
        self.decisions: deque[Decision] = deque(maxlen=KEPT_DECISIONS)

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note decisions and answer questions in the order they came."""
        for letter in letters:
            message = letter.message
            if isinstance(message, Decision):
                self.decisions.append(message)
            elif isinstance(message, Question):
                matched = list(select(self.decisions, message))
                letter.answer(matched[-message.limit :])


def select(
    decisions: Iterable[Decision], question: Question
) -> Iterator[Decision]:
    """Yield the decisions that a question asks for."""
    for decision in decisions:
        wanted = (
            (question.subject, decision.subject),
            (question.team, decision.team),
            (question.request_id, decision.request_id),
        )
        if decision.at_s >= question.since_s and all(
            asked in {None, found} for asked, found in wanted
        ):
            yield decision
