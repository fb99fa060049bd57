"""Own the version in force and bring newer ones into force."""

from collections.abc import Iterable, Iterator, Sequence

from loguru import logger

from currantspur.decisions.relays import rank_instances
from currantspur.errors import CurrantspurError
from currantspur.messages import (
    Configuration,
    Decision,
    Evidence,
    Head,
    InForce,
    Instance,
    Membership,
    Message,
    Plan,
    Sighting,
)
from currantspur.messages.archive import Kept
from currantspur.platform.plans import PLAN_SECTION, decode_plan
from currantspur.platform.versions import (
    CONFIGURATION_SECTION,
    encode_head,
)
from currantspur.settings import read_configuration
from currantspur.tasks.clock import Clock
from currantspur.tasks.fetching import Fetcher
from currantspur.tasks.mailbox import Mailbox

SKIPPED_LIMIT = 8
HOLDERS_LIMIT = 4


class Follower:
    """Follow sightings; a version is never followed by an older one."""

    __slots__ = (
        'archive',
        'bodies',
        'clock',
        'configuration',
        'fetcher',
        'head',
        'is_stuck',
        'journal',
        'mailbox',
        'members',
        'name',
        'readers',
    )

    def __init__(
        self,
        *,
        name: str,
        fetcher: Fetcher,
        clock: Clock,
        archive: Mailbox,
        journal: Mailbox,
        readers: Sequence[Mailbox],
    ) -> None:
        self.name = name
        self.fetcher = fetcher
        self.clock = clock
        self.archive = archive
        self.journal = journal
        self.readers = readers
        self.mailbox = Mailbox()
        self.head: Head | None = None
        self.configuration = Configuration()
        self.bodies: dict[str, bytes] = {}
        self.members: tuple[Instance, ...] = ()
        self.is_stuck = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            letters = await self.mailbox.take()
            sightings = list(self._sort(letter.message for letter in letters))
            if sightings:
                await self.follow(sightings)

    async def follow(self, sightings: list[Sighting]) -> None:
        """Bring the newest version into force, then pass the proofs on."""
        newest = max(sightings, key=lambda one: one.proof.version)
        if newest.proof.version > self.version:
            await self._try_advance(newest)
        for sighting in sightings:
            if sighting.proof.version == self.version:
                self._tell(sighting.proof)

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self.head.version if self.head else 0

    def _sort(self, messages: Iterable[Message]) -> Iterator[Sighting]:
        for message in messages:
            if isinstance(message, Sighting):
                yield message
            elif isinstance(message, Membership):
                self.members = message.instances

    async def _try_advance(self, sighting: Sighting) -> None:
        try:
            await self._advance(sighting)
        except CurrantspurError as error:
            if not self.is_stuck:
                logger.warning(
                    'version {} cannot be fetched: {}',
                    sighting.proof.version,
                    error,
                )
            self.is_stuck = True
        else:
            self.is_stuck = False

    async def _advance(self, sighting: Sighting) -> None:
        holders = self._list_holders(sighting)
        head = sighting.head or await self.fetcher.fetch_head(
            sighting.proof.version, holders
        )
        bodies = {
            name: await self._fetch(name, sighting, holders)
            for name in head.sections.values()
        }
        configuration = self._read_configuration(head, bodies)
        skipped = await self._fetch_skipped(head, sighting, holders)
        self.head = head
        self.configuration = configuration
        self.bodies = bodies
        self.archive.post(
            Kept(heads={head.version: encode_head(head)}, bodies=bodies)
        )
        self._tell(
            InForce(
                head=head,
                configuration=configuration,
                plan=_read_plan(head, bodies),
                skipped=skipped,
            )
        )
        self._record(head, sighting)

    def _read_configuration(
        self, head: Head, bodies: dict[str, bytes]
    ) -> Configuration:
        name = head.sections[CONFIGURATION_SECTION]
        if self.head and self.head.sections[CONFIGURATION_SECTION] == name:
            return self.configuration
        return read_configuration(bodies[name].decode(), file=name)

    async def _fetch(
        self, name: str, sighting: Sighting, holders: list[Instance]
    ) -> bytes:
        held = self.bodies.get(name)
        if held is not None:
            return held
        return await self.fetcher.fetch_object(
            name, holders, store_first=sighting.source is None
        )

    async def _fetch_skipped(
        self, head: Head, sighting: Sighting, holders: list[Instance]
    ) -> tuple[Plan, ...] | None:
        missed = range(self.version + 1, head.version)
        if self.head is None or not missed:
            return ()
        if len(missed) > SKIPPED_LIMIT:
            return None
        plans = []
        try:
            for version in missed:
                past = await self.fetcher.fetch_head(version, holders)
                name = past.sections.get(PLAN_SECTION)
                body = (
                    await self._fetch(name, sighting, holders) if name else None
                )
                plans.append(decode_plan(body) if body else Plan())
        except CurrantspurError:
            return None
        return tuple(plans)

    def _list_holders(self, sighting: Sighting) -> list[Instance]:
        first = [sighting.source] if sighting.source else []
        others = [
            one
            for one in self.members
            if one.name != self.name and one not in first
        ]
        ranked = rank_instances(others, self.name)
        return [*first, *ranked][:HOLDERS_LIMIT]

    def _tell(self, message: Message) -> None:
        for reader in self.readers:
            reader.post(message)

    def _record(self, head: Head, sighting: Sighting) -> None:
        evidence = Evidence(
            name='head',
            reading=f'{head.version} by {sighting.proof.source}',
            age_s=self.clock.now() - sighting.proof.proven_at,
        )
        self.journal.post(
            Decision(
                at_s=self.clock.unix(),
                instance=self.name,
                kind='version',
                subject=f'version {head.version}',
                action='brought into force',
                reason=f'the head names change {head.change_id}',
                evidence=(evidence,),
                version=head.version,
                author=head.author,
            )
        )


def _read_plan(head: Head, bodies: dict[str, bytes]) -> Plan:
    name = head.sections.get(PLAN_SECTION)
    return decode_plan(bodies[name]) if name else Plan()
