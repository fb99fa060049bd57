"""Wait for time to pass while letters are read."""

import asyncio
from collections.abc import Callable

from currantspur.messages import Message
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Mailbox


async def wait_and_learn(
    mailbox: Mailbox,
    clock: Clock,
    seconds: float,
    learn: Callable[[Message], bool],
) -> None:
    """Return once the time has passed, or a message is said to be urgent."""
    sleeping = asyncio.ensure_future(clock.sleep(seconds))
    try:
        while not sleeping.done():
            await _wait_for_either(sleeping, mailbox)
            urgent = [learn(letter.message) for letter in mailbox.drain()]
            if any(urgent):
                return
    finally:
        sleeping.cancel()


async def _wait_for_either(
    sleeping: 'asyncio.Future[None]', mailbox: Mailbox
) -> None:
    arriving = asyncio.ensure_future(mailbox.arrived.wait())
    try:
        await asyncio.wait(
            (sleeping, arriving), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        arriving.cancel()
