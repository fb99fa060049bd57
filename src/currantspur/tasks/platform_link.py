"""Follow the platform: versions, proofs of freshness, members."""

from collections.abc import Iterable

from loguru import logger

from currantspur.errors import PlatformError, SettingsError
from currantspur.messages import (
    Configuration,
    Decision,
    Evidence,
    Head,
    InForce,
    Instance,
    Membership,
    Message,
    Part,
    Parts,
    Proof,
    name_team_limit,
)
from currantspur.platform import Platform, read_head, read_section
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Mailbox


class PlatformLink:
    """Poll the platform and tell the tasks what is new."""

    __slots__ = (
        'clock',
        'configuration',
        'head',
        'instance',
        'is_away',
        'journal',
        'members',
        'platform',
        'poll_s',
        'readers',
    )

    def __init__(
        self,
        *,
        platform: Platform,
        instance: Instance,
        clock: Clock,
        poll_s: float,
        readers: Iterable[Mailbox],
        journal: Mailbox,
    ) -> None:
        self.platform = platform
        self.instance = instance
        self.clock = clock
        self.poll_s = poll_s
        self.readers = tuple(readers)
        self.journal = journal
        self.head: Head | None = None
        self.configuration = Configuration()
        self.members: tuple[Instance, ...] = ()
        self.is_away = False

    async def run(self) -> None:
        """Poll until cancelled; an outage is noted once at each end."""
        while True:
            try:
                await self.poll()
            except (PlatformError, SettingsError) as error:
                self._note(away=True, reason=str(error))
            else:
                self._note(away=False, reason='')
            await self.clock.sleep(self.poll_s)

    async def poll(self) -> None:
        """Read the head, then the members; pass on what they say."""
        await self._follow_head()
        await self.platform.instances.announce(self.instance)
        members = await self.platform.instances.list()
        if members != self.members:
            self.members = members
            self._tell(Membership(instances=members))
            self._share()

    async def leave(self) -> None:
        """Announce that this instance is leaving."""
        self.instance.state = 'leaving'
        await self.platform.instances.announce(self.instance)

    async def _follow_head(self) -> None:
        asked_at = self.clock.now()
        head = await read_head(self.platform)
        if head is None:
            return
        if self.head is None or head.version > self.head.version:
            self.configuration = await read_section(self.platform, head)
            self.head = head
            self._tell(InForce(head=head, configuration=self.configuration))
            self._share()
            self._record(head, asked_at)
        self._tell(Proof(version=head.version, proven_at=asked_at))

    def _share(self) -> None:
        live = [one for one in self.members if one.state == 'live']
        count = max(1, len(live))
        parts = {
            name_team_limit(team.name): Part(
                rate=team.rate / count, burst=team.burst / count
            )
            for team in self.configuration.teams
        }
        self._tell(Parts(by_limit=parts))

    def _record(self, head: Head, asked_at: float) -> None:
        age_s = self.clock.now() - asked_at
        self.journal.post(
            Decision(
                at_s=self.clock.unix(),
                instance=self.instance.name,
                kind='version',
                subject=f'version {head.version}',
                action='brought into force',
                reason=f'the head names change {head.change_id}',
                evidence=(
                    Evidence(
                        name='head', reading=str(head.version), age_s=age_s
                    ),
                ),
                version=head.version,
                author=head.author,
            )
        )

    def _tell(self, message: Message) -> None:
        for reader in self.readers:
            reader.post(message)

    def _note(self, *, away: bool, reason: str) -> None:
        if away == self.is_away:
            return
        self.is_away = away
        if away:
            logger.warning('platform away: {}', reason)
        else:
            logger.info('platform back')
