"""Pass messages between tasks."""

import asyncio
from collections import deque
from typing import Any

from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import Message

MAILBOX_LIMIT = 20_000


class Letter:
    """Hold a message and the future that wants its reply, if one does."""

    __slots__ = ('message', 'reply')

    def __init__(
        self, message: Message, reply: 'asyncio.Future[Any] | None' = None
    ) -> None:
        self.message = message
        self.reply = reply

    def answer(self, outcome: Any) -> None:
        """Give the reply, unless the asker has left."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(outcome)

    def fail(self, error: Exception) -> None:
        """Raise TaskFailedError at the asker, if it still waits."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_exception(TaskFailedError(type(error).__name__))


class Mailbox:
    """Queue letters for the one task that owns it."""

    __slots__ = ('arrived', 'letters', 'limit')

    def __init__(self, *, limit: int = MAILBOX_LIMIT) -> None:
        self.letters: deque[Letter] = deque()
        self.limit = limit
        self.arrived = asyncio.Event()

    def post(self, message: Message) -> None:
        """Queue a message; raise MailboxFullError when too many wait."""
        self.put(Letter(message))

    async def ask(self, message: Message) -> Any:
        """Queue a message and wait for its reply."""
        reply = asyncio.get_running_loop().create_future()
        self.put(Letter(message, reply))
        return await reply

    def put(self, letter: Letter) -> None:
        """Queue a letter."""
        if len(self.letters) >= self.limit:
            raise MailboxFullError(type(letter.message).__name__)
        self.letters.append(letter)
        self.arrived.set()

    async def take(self) -> list[Letter]:
        """Wait for letters and return all that are there."""
        await self.arrived.wait()
        return self.drain()

    def drain(self) -> list[Letter]:
        """Return all letters that are there, without waiting."""
        self.arrived.clear()
        taken = list(self.letters)
        self.letters.clear()
        return taken
