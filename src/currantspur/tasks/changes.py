"""Carry out operators' changes one after another."""

from collections.abc import Iterable

from currantspur.decisions.edits import Edit
from currantspur.decisions.operators import OperatorRing, may
from currantspur.errors import (
    ConflictError,
    CurrantspurError,
    EditError,
    ForbiddenError,
    OutcomeUnknownError,
    PlatformAwayError,
    PlatformError,
    QuorumError,
    TakenError,
)
from currantspur.messages import Change, Configuration, Head, Message, Operator
from currantspur.messages.operators import Order, Rejection, RejectionCode
from currantspur.platform import Platform, read_section
from currantspur.platform.history import (
    READ_VERSIONS,
    has_configuration,
    is_same_configuration,
    read_recent,
    select_changes,
)
from currantspur.platform.versions import (
    CONFIGURATION_SECTION,
    HEAD_KEY,
    decode_head,
    name_change,
    name_version,
    read_version,
)
from currantspur.settings import print_configuration
from currantspur.tasks.committer import Committer
from currantspur.tasks.mailbox import Letter, Mailbox

MAILBOX_LIMIT = 64
ATTEMPTS = 32
CodeRow = tuple[type[CurrantspurError], RejectionCode]
CODES: tuple[CodeRow, ...] = (
    (OutcomeUnknownError, 'outcome_unknown'),
    (PlatformError, 'store_away'),
    (ForbiddenError, 'forbidden'),
    (TakenError, 'conflict'),
    (EditError, 'not_found'),
)


class Base(Message):
    """Hold the newest version and what is known of a change on it."""

    __slots__ = ('configuration', 'earlier', 'newest', 'seen')

    def __init__(
        self,
        *,
        newest: Head | None,
        seen: Head | None,
        earlier: Head | None,
        configuration: Configuration,
    ) -> None:
        """Take the version that the author saw, and that of the same id."""
        self.newest = newest
        self.seen = seen
        self.earlier = earlier
        self.configuration = configuration

    @property
    def version(self) -> int:
        """Newest version; 0 before the first."""
        return self.newest.version if self.newest else 0


class ChangeTask:
    """Own the changes of one instance; one is under way at a time."""

    __slots__ = ('committer', 'mailbox', 'platform', 'trusted')

    def __init__(
        self,
        *,
        platform: Platform,
        committer: Committer,
        trusted: tuple[Operator, ...] = (),
    ) -> None:
        """Take the operators that the daemon's own settings let in."""
        self.platform = platform
        self.committer = committer
        self.trusted = trusted
        self.mailbox = Mailbox(limit=MAILBOX_LIMIT)

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        while True:
            await self.receive(await self.mailbox.take())

    async def receive(self, letters: Iterable[Letter]) -> None:
        """Carry out the orders that came since the last call."""
        for letter in letters:
            if isinstance(letter.message, Order):
                letter.answer(await self.carry_out(letter.message))

    async def carry_out(self, order: Order) -> Head | Rejection:
        """Return the head that holds the change, or why there is none."""
        edit = order.edit
        if not isinstance(edit, Edit):
            raise TypeError(type(edit).__name__)
        try:
            return await self._commit(edit, order.operator)
        except ConflictError as error:
            return await self._describe_conflict(edit, order.operator, error)
        except CurrantspurError as error:
            return Rejection(code=choose_code(error), detail=str(error))

    async def _commit(self, edit: Edit, operator: Operator) -> Head:
        for _ in range(ATTEMPTS):
            base = await self._read_base(edit)
            if base.earlier is not None:
                return check_author(base.earlier, operator)
            self._authorise(base, edit, operator)
            check_base(base, edit)
            head = await self._try(encode_change(base, edit, operator))
            if head is not None:
                return head
        raise ConflictError('other changes came first each time')

    async def _try(self, change: Change) -> Head | None:
        try:
            return await self.committer.commit(change)
        except ConflictError:
            return None
        except QuorumError:
            raise
        except PlatformError as error:
            raise OutcomeUnknownError(str(error)) from error

    async def _read_base(self, edit: Edit) -> Base:
        own_key = name_change(edit.change_id)
        seen_key = name_version(edit.base_version or 0)
        rows = await self.platform.table.read([HEAD_KEY, own_key, seen_key])
        newest = decode_head(rows.get(HEAD_KEY))
        own = rows.get(own_key)
        earlier = None
        if own is not None:
            earlier = await read_version(self.platform, int(own.text))
        configuration = Configuration()
        if newest is not None and has_configuration(newest):
            configuration = await read_section(self.platform, newest)
        return Base(
            newest=newest,
            seen=decode_head(rows.get(seen_key)),
            earlier=earlier,
            configuration=configuration,
        )

    def _authorise(self, base: Base, edit: Edit, operator: Operator) -> None:
        known = (*base.configuration.operators, *self.trusted)
        if not OperatorRing(known).holds(operator):
            raise ForbiddenError('the operator key was withdrawn')
        if not may(operator, edit.role):
            raise ForbiddenError(f'the change needs the role {edit.role}')

    async def _describe_conflict(
        self, edit: Edit, operator: Operator, error: ConflictError
    ) -> Rejection:
        try:
            heads = await read_recent(self.platform, limit=READ_VERSIONS)
        except PlatformAwayError:
            heads = []
        changes = select_changes(heads)
        other = changes[0].author if changes else error.author
        return Rejection(
            code='conflict',
            detail=str(error),
            author=operator.name,
            other_author=other,
            version=heads[0].version if heads else 0,
        )


def choose_code(error: CurrantspurError) -> RejectionCode:
    """Return the code of the rejection that an error stands for."""
    for kind, code in CODES:
        if isinstance(error, kind):
            return code
    raise error


def check_author(earlier: Head, operator: Operator) -> Head:
    """Return the head of an earlier change if it is the same author's."""
    if earlier.author != operator.name:
        raise ConflictError('the change id is taken')
    return earlier


def check_base(base: Base, edit: Edit) -> None:
    """Raise ConflictError if the configuration changed since the base."""
    wanted = edit.base_version
    if wanted is None or wanted == base.version:
        return
    if (
        base.seen
        and base.newest
        and is_same_configuration(base.seen, base.newest)
    ):
        return
    raise ConflictError(f'version {base.version} is newer than base {wanted}')


def encode_change(base: Base, edit: Edit, operator: Operator) -> Change:
    """Return the change that puts an edit on its base."""
    edited = edit.apply(base.configuration)
    return Change(
        change_id=edit.change_id,
        base_version=base.version,
        sections={CONFIGURATION_SECTION: print_configuration(edited).encode()},
        author=operator.name,
        note=edit.note,
    )
