"""Spread the notice of a new version to those whom others ask."""

import asyncio
from collections.abc import Iterable

from currantspur.decisions.relays import choose_relays
from currantspur.errors import PeerAwayError
from currantspur.messages import (
    Instance,
    Membership,
    Receipt,
    VersionNotice,
)
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.peers import PeerPort

NOTICE_S = 0.5


class Notifier:
    """Wake the readers on a notice; send own notices to all relays."""

    __slots__ = ('mailbox', 'members', 'name', 'peers', 'readers')

    def __init__(
        self, *, name: str, peers: PeerPort, readers: Iterable[Mailbox]
    ) -> None:
        self.name = name
        self.peers = peers
        self.readers = tuple(readers)
        self.mailbox = Mailbox()
        self.members: tuple[Instance, ...] = ()

    async def run(self) -> None:
        """Handle notices until cancelled."""
        while True:
            letters = await self.mailbox.take()
            for letter in letters:
                await self._handle(letter)

    async def _handle(self, letter: Letter) -> None:
        message = letter.message
        if isinstance(message, Membership):
            self.members = message.instances
        elif isinstance(message, VersionNotice):
            letter.answer(Receipt(answerer=self.name))
            for reader in self.readers:
                reader.post(message)
            if message.sender == self.name:
                await self._send(message)

    async def _send(self, notice: VersionNotice) -> None:
        zones = {one.availability_zone for one in self.members}
        await asyncio.gather(
            *(
                self._send_one(relay, notice)
                for zone in sorted(zones)
                for relay in choose_relays(self.members, zone)
                if relay.name != self.name
            )
        )

    async def _send_one(self, relay: Instance, notice: VersionNotice) -> None:
        try:
            await self.peers.ask(relay, notice, timeout_s=NOTICE_S)
        except PeerAwayError:
            return
