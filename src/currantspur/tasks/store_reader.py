"""Read the head from the store and report it."""

from loguru import logger

from currantspur.decisions.relays import is_relay
from currantspur.errors import PlatformError
from currantspur.messages import (
    Instance,
    Membership,
    Message,
    Proof,
    Sighting,
    VersionNotice,
)
from currantspur.platform import Platform, read_head
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.waiting import wait_and_learn

# An instance that is no relay reads the store once its proof is that old.
UNPROVEN_S = 1.1


class StoreReader:
    """Poll the head: relays always, others while relays are silent."""

    __slots__ = (
        'clock',
        'follower',
        'instance',
        'is_away',
        'is_relay',
        'mailbox',
        'platform',
        'poll_s',
        'proven_at',
    )

    def __init__(
        self,
        *,
        platform: Platform,
        instance: Instance,
        clock: Clock,
        poll_s: float,
        follower: Mailbox,
    ) -> None:
        self.platform = platform
        self.instance = instance
        self.clock = clock
        self.poll_s = poll_s
        self.follower = follower
        self.mailbox = Mailbox()
        self.proven_at = float('-inf')
        self.is_relay = True
        self.is_away = False

    async def run(self) -> None:
        """Poll until cancelled; an outage is noted once at each end."""
        while True:
            if self.is_relay or self.clock.now() - self.proven_at > UNPROVEN_S:
                await self._try_read()
            await wait_and_learn(
                self.mailbox, self.clock, self.poll_s, self.learn
            )

    def learn(self, message: Message) -> bool:
        """Note proofs and members; a notice of a version is urgent."""
        if isinstance(message, Proof):
            self.proven_at = max(self.proven_at, message.proven_at)
        elif isinstance(message, Membership):
            self.is_relay = is_relay(
                self.instance.name,
                message.instances,
                self.instance.availability_zone,
            )
        return isinstance(message, VersionNotice)

    async def _try_read(self) -> None:
        asked_at = self.clock.now()
        try:
            head = await read_head(self.platform)
        except PlatformError as error:
            self._note(away=True, reason=str(error))
            return
        self._note(away=False, reason='')
        if head is not None:
            proof = Proof(version=head.version, proven_at=asked_at)
            self.follower.post(Sighting(proof=proof, head=head))

    def _note(self, *, away: bool, reason: str) -> None:
        if away == self.is_away:
            return
        self.is_away = away
        if away:
            logger.warning('store away: {}', reason)
        else:
            logger.info('store back')
