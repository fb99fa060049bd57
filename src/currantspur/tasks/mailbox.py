"""Pass messages between tasks."""

import asyncio
from collections import deque
from typing import Any

from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import Message

MAILBOX_LIMIT = 20_000


class Envelope:
    """Hold a message and the future that wants its reply, if one does."""

    __slots__ = ('message', 'reply_future')

    def __init__(
        self,
        message: Message,
        reply_future: 'asyncio.Future[Any] | None' = None,
    ) -> None:
        self.message = message
        self.reply_future = reply_future

    def set_reply(self, outcome: Any) -> None:
        """Give the reply, unless the asker has left."""
        if self.reply_future is not None and not self.reply_future.done():
            self.reply_future.set_result(outcome)

    def fail(self, error: Exception) -> None:
        """Raise TaskFailedError at the asker, if it still waits."""
        if self.reply_future is not None and not self.reply_future.done():
            self.reply_future.set_exception(
                TaskFailedError(type(error).__name__)
            )


class Mailbox:
    """Queue envelopes for the one task that owns it."""

    __slots__ = ('arrived', 'envelopes', 'limit')

    def __init__(self, *, limit: int = MAILBOX_LIMIT) -> None:
        self.envelopes: deque[Envelope] = deque()
        self.limit = limit
        self.arrived = asyncio.Event()

    def post(self, message: Message) -> None:
        """Queue a message; raise MailboxFullError when too many wait."""
        self.put(Envelope(message))

    async def ask(self, message: Message) -> Any:
        """Queue a message and wait for its reply."""
        reply = asyncio.get_running_loop().create_future()
        self.put(Envelope(message, reply))
        return await reply

    def put(self, envelope: Envelope) -> None:
        """Queue an envelope."""
        if len(self.envelopes) >= self.limit:
            raise MailboxFullError(type(envelope.message).__name__)
        self.envelopes.append(envelope)
        self.arrived.set()

    async def get_all(self) -> list[Envelope]:
        """Wait for envelopes and return all that are there."""
        await self.arrived.wait()
        return self.get_all_nowait()

    def get_all_nowait(self) -> list[Envelope]:
        """Return all envelopes that are there, without waiting."""
        self.arrived.clear()
        taken = list(self.envelopes)
        self.envelopes.clear()
        return taken
