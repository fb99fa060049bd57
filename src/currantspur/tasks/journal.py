"""Own the record of automatic decisions."""

from collections import deque
from collections.abc import Iterable

from currantspur.decisions.explanation import select
from currantspur.errors import MailboxFullError
from currantspur.messages import Decision, Question
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task

KEPT_DECISIONS = 5_000


class Journal(Task):
    """Keep the latest decisions and answer questions about them."""

    __slots__ = ('decisions', 'unwritten', 'writer')

    def __init__(self, *, writer: Mailbox | None = None) -> None:
        super().__init__()
        self.decisions: deque[Decision] = deque(maxlen=KEPT_DECISIONS)
        self.writer = writer
        self.unwritten = 0

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note decisions and answer questions in the order they came."""
        for letter in letters:
            message = letter.message
            if isinstance(message, Decision):
                self.decisions.append(message)
                self._pass_on(message)
            elif isinstance(message, Question):
                matched = list(select(self.decisions, message))
                letter.answer(matched[-message.limit :])

    def _pass_on(self, decision: Decision) -> None:
        if self.writer is None:
            return
        try:
            self.writer.post(decision)
        except MailboxFullError:
            self.unwritten += 1
