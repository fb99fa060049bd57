"""Ask a set of committers and stop once enough have answered."""

import asyncio
from collections.abc import AsyncGenerator, Iterable, Mapping

from currantspur.errors import PeerAwayError
from currantspur.messages import Instance, Message
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.peers import PeerPort

ASK_S = 0.4


class Quorum:
    """Reach committers by name; this instance reaches itself directly."""

    __slots__ = ('local', 'name', 'peers')

    def __init__(self, *, name: str, peers: PeerPort, local: Mailbox) -> None:
        self.name = name
        self.peers = peers
        self.local = local

    async def ask(
        self, committers: Mapping[str, str], message: Message
    ) -> AsyncGenerator[Message]:
        """Yield the answers as they come; the silent yield none."""
        asked = [
            asyncio.ensure_future(self._ask_one(name, peer, message))
            for name, peer in committers.items()
        ]
        try:
            for next_answer in asyncio.as_completed(asked):
                answer = await next_answer
                if answer is not None:
                    yield answer
        finally:
            _cancel(asked)

    async def _ask_one(
        self, name: str, peer: str, message: Message
    ) -> Message | None:
        if name == self.name:
            own: Message = await self.local.ask(message)
            return own
        instance = Instance(
            name=name, address='', peer=peer, availability_zone=''
        )
        try:
            return await self.peers.ask(instance, message, timeout_s=ASK_S)
        except PeerAwayError:
            return None


def _cancel(asked: Iterable['asyncio.Future[Message | None]']) -> None:
    for one in asked:
        one.cancel()
