"""Define the tasks that own a state and read a mailbox."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from currantspur.tasks.mailbox import Letter, Mailbox


class Task(ABC):
    """Own a state; all who want something of it send messages."""

    __slots__ = ('mailbox',)

    def __init__(self) -> None:
        self.mailbox = Mailbox()

    async def run(self) -> None:
        """Receive letters until cancelled."""
        while True:
            self.receive(await self.mailbox.take())

    @abstractmethod
    def receive(self, letters: Iterable[Letter]) -> None:
        """Handle the letters that came since the last call."""
