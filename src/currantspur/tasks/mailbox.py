"""Mailboxes that pass messages and replies between tasks."""

import asyncio
from collections import deque
from collections.abc import Callable
from traceback import format_tb
from typing import Any

from loguru import logger

from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import Message

# Default limit of a mailbox: further envelopes raise MailboxFullError.
MAX_WAITING_ENVELOPES = 20_000


def log_failure(error: Exception) -> None:
    """Log the type of a task's error and the lines of code that led to it.

    The text of an error or local values may contain an API key.
    """
    traceback = ''.join(format_tb(error.__traceback__))
    logger.error('task failed with {}\n{}', type(error).__name__, traceback)


class Envelope:
    """A message and the future of its reply; None if no reply is expected."""

    __slots__ = ('message', 'reply_future')

    def __init__(
        self,
        message: Message,
        reply_future: 'asyncio.Future[Any] | None' = None,
    ) -> None:
        self.message = message
        self.reply_future = reply_future

    @property
    def is_awaited(self) -> bool:
        """Whether the sender waits for a reply; False once it has left."""
        return self.reply_future is not None and not self.reply_future.done()

    def set_reply(self, reply: Any) -> None:
        """Set the reply unless the sender no longer waits for it."""
        if self.reply_future is not None and not self.reply_future.done():
            self.reply_future.set_result(reply)

    def resolve(self, handle: Callable[[Any], Any]) -> None:
        """Set the reply that a handler returns; its error fails only this."""
        try:
            reply = handle(self.message)
        except Exception as error:
            log_failure(error)
            self.fail(error)
        else:
            self.set_reply(reply)

    def fail(self, error: Exception) -> None:
        """Raise TaskFailedError in the sender if it still waits for a reply."""
        if self.reply_future is not None and not self.reply_future.done():
            self.reply_future.set_exception(
                TaskFailedError(type(error).__name__)
            )


class Mailbox:
    """Queue of envelopes for the one task that owns it."""

    __slots__ = ('envelopes', 'limit', 'not_empty')

    def __init__(self, *, limit: int = MAX_WAITING_ENVELOPES) -> None:
        self.envelopes: deque[Envelope] = deque()
        self.limit = limit
        self.not_empty = asyncio.Event()

    def post(self, message: Message) -> None:
        """Queue a message without a reply; raise MailboxFullError if full."""
        self.put(Envelope(message))

    def post_always(self, message: Message) -> None:
        """Queue a message even at the limit.

        For a message that follows one that was accepted, so that there are no
        more of them.
        """
        self._append(Envelope(message))

    async def ask(self, message: Message) -> Any:
        """Queue a message and return its reply.

        Raise MailboxFullError at the limit and TaskFailedError if the task
        fails at the message.
        """
        reply_future = asyncio.get_running_loop().create_future()
        self.put(Envelope(message, reply_future))
        return await reply_future

    def put(self, envelope: Envelope) -> None:
        """Queue an envelope; raise MailboxFullError at the limit."""
        if len(self.envelopes) >= self.limit:
            raise MailboxFullError(type(envelope.message).__name__)
        self._append(envelope)

    async def get_all(self) -> list[Envelope]:
        """Wait until envelopes are queued; remove and return all of them."""
        await self.not_empty.wait()
        return self.get_all_nowait()

    def get_all_nowait(self) -> list[Envelope]:
        """Remove and return all queued envelopes without waiting."""
        self.not_empty.clear()
        envelopes = list(self.envelopes)
        self.envelopes.clear()
        return envelopes

    def _append(self, envelope: Envelope) -> None:
        self.envelopes.append(envelope)
        self.not_empty.set()
