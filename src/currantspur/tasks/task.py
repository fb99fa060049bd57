"""Define the tasks that own a state and read a mailbox."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from traceback import format_tb

from loguru import logger

from currantspur.tasks.mailbox import Letter, Mailbox


class Task(ABC):
    """Own a state; all who want something of it send messages."""

    __slots__ = ('mailbox',)

    def __init__(self) -> None:
        self.mailbox = Mailbox()

    async def run(self) -> None:
        """Receive letters until cancelled; a failure ends only its batch."""
        while True:
            letters = await self.mailbox.take()
            try:
                self.receive(letters)
            except Exception as error:
                # The text of an error, or local values, may hold a key.
                place = ''.join(format_tb(error.__traceback__))
                logger.error('{} in a task\n{}', type(error).__name__, place)
                for letter in letters:
                    letter.fail(error)

    @abstractmethod
    def receive(self, letters: Iterable[Letter]) -> None:
        """Handle the letters that came since the last call."""
