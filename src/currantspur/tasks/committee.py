"""Replace committers that left the fleet."""

from loguru import logger

from currantspur.decisions.committers import choose_committers
from currantspur.decisions.relays import rank_instances
from currantspur.errors import PlatformError
from currantspur.messages import (
    Change,
    Head,
    InForce,
    Instance,
    Membership,
    Message,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.committer import Committer
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.waiting import wait_and_learn

CHECK_S = 5.0
GONE_S = 20.0
AUTHOR = 'currantspur'


class CommitteeTask:
    """Commit a version with other committers once one was long gone."""

    __slots__ = (
        'clock',
        'committer',
        'differs_since',
        'head',
        'mailbox',
        'members',
        'name',
        'regions',
    )

    def __init__(
        self, *, name: str, committer: Committer, clock: Clock
    ) -> None:
        self.name = name
        self.committer = committer
        self.clock = clock
        self.mailbox = Mailbox()
        self.head: Head | None = None
        self.members: tuple[Instance, ...] = ()
        self.differs_since: float | None = None
        self.regions: dict[str, str] = {}

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await wait_and_learn(self.mailbox, self.clock, CHECK_S, self.learn)
            head = self.head
            if head is not None and self._is_due(head):
                await self._replace(head)

    def learn(self, message: Message) -> bool:
        """Note the version in force and the members; neither is urgent."""
        if isinstance(message, InForce):
            self.head = message.head
            self.regions = message.configuration.region_by_zone()
        elif isinstance(message, Membership):
            self.members = message.instances
        return False

    def _is_due(self, head: Head) -> bool:
        wanted = choose_committers(head.committers, self.members, self.regions)
        if not head.committers or wanted == head.committers:
            self.differs_since = None
            return False
        now = self.clock.now()
        self.differs_since = self.differs_since or now
        return now - self.differs_since >= GONE_S and self._is_first()

    def _is_first(self) -> bool:
        live = [one for one in self.members if one.state == 'live']
        ranked = rank_instances(live, 'committee')
        return bool(ranked) and ranked[0].name == self.name

    async def _replace(self, head: Head) -> None:
        self.differs_since = None
        change = Change(
            change_id=f'committers-{head.version}-{self.name}',
            base_version=head.version,
            sections={},
            author=AUTHOR,
            note='a committer left',
        )
        try:
            await self.committer.commit(change)
        except PlatformError as error:
            logger.warning('committers could not be replaced: {}', error)
