"""Commit changes as the next version."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from contextlib import aclosing

from currantspur.decisions.committers import (
    choose_committers,
    count_majority,
)
from currantspur.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformAwayError,
    PlatformError,
    QuorumError,
)
from currantspur.messages import (
    Change,
    Head,
    Instance,
    VersionNotice,
    WriteAcknowledgement,
    WriteIntent,
)
from currantspur.platform import Platform, publish_sections
from currantspur.platform.versions import (
    CONFIGURATION_SECTION,
    Draft,
    draft_head,
    name_committer,
    send_draft,
    store_sections,
)
from currantspur.settings import read_configuration
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.quorum import Quorum

ListMembers = Callable[[], Awaitable[tuple[Instance, ...]]]

ATTEMPTS = 5
RETRY_S = 0.3


class Committer(ABC):
    """Turn a change into the next version."""

    __slots__ = ()

    @abstractmethod
    async def commit(self, change: Change) -> Head:
        """Return the head that holds the change, or raise ConflictError."""


class DirectCommitter(Committer):
    """Commit to the platform at once; refuse once committers are named."""

    __slots__ = ('platform',)

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def commit(self, change: Change) -> Head:
        """Return the head that holds the change, or raise ConflictError."""
        return await publish_sections(self.platform, change)


class QuorumCommitter(Committer):
    """Announce each write to a majority of committers before it is sent."""

    __slots__ = (
        'clock',
        'list_members',
        'list_regions',
        'notices',
        'platform',
        'quorum',
    )

    def __init__(
        self,
        *,
        platform: Platform,
        quorum: Quorum,
        clock: Clock,
        list_members: ListMembers,
        list_regions: Callable[[], Mapping[str, str]],
        notices: Mailbox,
    ) -> None:
        """Take who knows the members and who spreads new versions."""
        self.platform = platform
        self.quorum = quorum
        self.clock = clock
        self.list_members = list_members
        self.list_regions = list_regions
        self.notices = notices

    async def commit(self, change: Change) -> Head:
        """Return the head that holds the change, or raise ConflictError.

        PlatformAwayError leaves the outcome open; the same change may be
        committed again under its change id.
        """
        names = await store_sections(self.platform, change)
        failures: list[PlatformError] = []
        for _ in range(ATTEMPTS):
            try:
                return await self._try(change, names)
            except (OutcomeUnknownError, QuorumError) as error:
                failures.append(error)
            await self.clock.sleep(RETRY_S)
        raise max(failures, key=_is_open)

    async def _try(self, change: Change, names: dict[str, str]) -> Head:
        draft = await draft_head(self.platform, change, names)
        if draft.is_landed:
            return self._announce(draft.head)
        members = await self.list_members()
        draft.head.committers = choose_committers(
            draft.needed, members, self._read_regions(draft, change)
        )
        conditions = await self._gather(draft, change)
        try:
            head = await send_draft(self.platform, draft, conditions)
        except (ConflictError, PlatformAwayError) as error:
            raise OutcomeUnknownError('the store gave no answer') from error
        return self._announce(head)

    def _read_regions(self, draft: Draft, change: Change) -> Mapping[str, str]:
        body = change.sections.get(CONFIGURATION_SECTION)
        if draft.needed or body is None:
            return self.list_regions()
        return read_configuration(body.decode()).region_by_zone()

    async def _gather(self, draft: Draft, change: Change) -> dict[str, int]:
        intent = WriteIntent(
            writer=self.quorum.name,
            change_id=change.change_id,
            author=change.author,
            base_version=change.base_version,
        )
        needed = count_majority(len(draft.needed))
        conditions: dict[str, int] = {}
        if not needed:
            return conditions
        async with aclosing(self.quorum.ask(draft.needed, intent)) as answers:
            async for answer in answers:
                conditions.update(_read_condition(answer))
                if len(conditions) >= needed:
                    return conditions
        raise QuorumError(
            f'{len(conditions)} of {len(draft.needed)} committers'
            f' acknowledged, {needed} are needed'
        )

    def _announce(self, head: Head) -> Head:
        self.notices.post(
            VersionNotice(sender=self.quorum.name, version=head.version)
        )
        return head


def _is_open(error: PlatformError) -> bool:
    return isinstance(error, OutcomeUnknownError)


def _read_condition(answer: object) -> dict[str, int]:
    if isinstance(answer, WriteAcknowledgement) and answer.accepted:
        return {name_committer(answer.answerer): answer.row_version}
    return {}
