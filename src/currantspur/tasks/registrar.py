"""Register this instance as a committer and settle what it acknowledged."""

from currantspur.errors import PlatformError
from currantspur.messages import InForce, Message, Registration, WitnessQuery
from currantspur.platform import ABSENT, Platform, Transaction, read_head
from currantspur.platform.versions import name_committer
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.waiting import wait_and_learn

CHECK_S = 1.0
OPEN_WRITE_S = 5.0


class Registrar:
    """Write a new incarnation row where memory was lost or a write hangs."""

    __slots__ = (
        'clock',
        'is_committer',
        'mailbox',
        'name',
        'platform',
        'relay',
    )

    def __init__(
        self, *, name: str, platform: Platform, relay: Mailbox, clock: Clock
    ) -> None:
        self.name = name
        self.platform = platform
        self.relay = relay
        self.clock = clock
        self.mailbox = Mailbox()
        self.is_committer = False

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await wait_and_learn(self.mailbox, self.clock, CHECK_S, self.learn)
            if self.is_committer:
                await self._check()

    def learn(self, message: Message) -> bool:
        """Note whether this instance is a committer; a change is urgent."""
        if not isinstance(message, InForce):
            return False
        was_committer = self.is_committer
        self.is_committer = self.name in message.head.committers
        return self.is_committer != was_committer

    async def register(self) -> None:
        """Replace the row, then read the head, then answer peers again.

        The new row ends every write that depends on the old one; what landed
        before shows in the head that is read after it.
        """
        key = name_committer(self.name)
        rows = await self.platform.table.read([key])
        expected = rows[key].version if key in rows else ABSENT
        await self.relay.ask(Registration())
        versions = await self.platform.table.commit(
            Transaction(
                conditions={key: expected}, writes={key: f'after {expected}'}
            )
        )
        head = await read_head(self.platform)
        await self.relay.ask(
            Registration(
                row_version=versions[key], newest=head.version if head else 0
            )
        )

    async def _check(self) -> None:
        state = await self.relay.ask(WitnessQuery())
        if state.is_registered and state.oldest_s <= OPEN_WRITE_S:
            return
        try:
            await self.register()
        except PlatformError:
            return
