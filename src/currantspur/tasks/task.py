"""Base class of tasks that own their state and read a mailbox."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from currantspur.tasks.mailbox import Envelope, Mailbox, log_failure


class Task(ABC):
    """Task that owns its state; other tasks send it messages."""

    __slots__ = ('mailbox',)

    def __init__(self) -> None:
        self.mailbox = Mailbox()

    async def run(self) -> None:
        """Receive envelopes until cancelled; an error fails only its batch.

        Errors of single messages are up to `receive`: what else is in a batch,
        such as the release of a target, must not be lost with them.
        """
        while True:
            envelopes = await self.mailbox.get_all()
            try:
                self.receive(envelopes)
            except Exception as error:
                log_failure(error)
                for envelope in envelopes:
                    envelope.fail(error)

    @abstractmethod
    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Handle the envelopes received since the last call; never wait."""
