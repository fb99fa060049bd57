"""Wait for letters or for time to pass, whichever comes first."""

import asyncio

from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox


async def wait_for_letters(
    mailbox: Mailbox, clock: Clock, seconds: float
) -> list[Letter]:
    """Return the letters that came, or none once the time has passed."""
    waits = [
        asyncio.ensure_future(mailbox.arrived.wait()),
        asyncio.ensure_future(clock.sleep(seconds)),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
    return mailbox.drain()
