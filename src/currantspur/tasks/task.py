"""Base class of tasks that own their state and read a mailbox."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from traceback import format_tb

from loguru import logger

from currantspur.tasks.mailbox import Envelope, Mailbox


class Task(ABC):
    """Task that owns its state; other tasks send it messages."""

    __slots__ = ('mailbox',)

    def __init__(self) -> None:
        self.mailbox = Mailbox()

    async def run(self) -> None:
        """Receive envelopes until cancelled; an error fails only its batch."""
        while True:
            envelopes = await self.mailbox.get_all()
            try:
                self.receive(envelopes)
            except Exception as error:
                # Log only the type and the lines of code: the text of an error
                # or local values may contain an API key.
                traceback = ''.join(format_tb(error.__traceback__))
                logger.error(
                    'task failed with {}\n{}', type(error).__name__, traceback
                )
                for envelope in envelopes:
                    envelope.fail(error)

    @abstractmethod
    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Handle the envelopes received since the last call; never wait."""
