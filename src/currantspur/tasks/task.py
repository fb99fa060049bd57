"""Define the tasks that own a state and read a mailbox."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from traceback import format_tb

from loguru import logger

from currantspur.tasks.mailbox import Envelope, Mailbox


class Task(ABC):
    """Own a state; all who want something of it send messages."""

    __slots__ = ('mailbox',)

    def __init__(self) -> None:
        self.mailbox = Mailbox()

    async def run(self) -> None:
        """Receive envelopes until cancelled; a failure ends only its batch."""
        while True:
            envelopes = await self.mailbox.get_all()
            try:
                self.receive(envelopes)
            except Exception as error:
                # The text of an error, or local values, may hold a key.
                place = ''.join(format_tb(error.__traceback__))
                logger.error('{} in a task\n{}', type(error).__name__, place)
                for envelope in envelopes:
                    envelope.fail(error)

    @abstractmethod
    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Handle the envelopes that came since the last call."""
