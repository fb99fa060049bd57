"""Edit a configuration: whole texts, keys, operators and drains."""

from abc import abstractmethod
from typing import Any, ClassVar, TypeVar

from currantspur.decisions.drain_plan import check_drain
from currantspur.errors import EditError, TakenError
from currantspur.messages import (
    Configuration,
    Drain,
    Key,
    Message,
    Operator,
    Role,
    fields,
)

Copied = TypeVar('Copied', Configuration, Drain)


class Edit(Message):
    """Turn the newest configuration into the next one."""

    __slots__ = ('base_version', 'change_id', 'note')

    role: ClassVar[Role] = 'change'

    def __init__(
        self, *, change_id: str, base_version: int | None = None, note: str = ''
    ) -> None:
        """Take the version that the author saw; None edits the newest."""
        self.change_id = change_id
        self.base_version = base_version
        self.note = note

    @abstractmethod
    def apply(self, configuration: Configuration) -> Configuration:
        """Return the next configuration or raise EditError."""


class Replace(Edit):
    """Put a whole configuration in place of the newest."""

    __slots__ = ('configuration',)

    def __init__(
        self,
        *,
        configuration: Configuration,
        change_id: str,
        base_version: int,
        note: str = '',
    ) -> None:
        super().__init__(
            change_id=change_id, base_version=base_version, note=note
        )
        self.configuration = configuration

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the new configuration."""
        return self.configuration


class IssueKey(Edit):
    """Add a team's key."""

    __slots__ = ('key',)

    def __init__(self, *, key: Key, change_id: str, note: str = '') -> None:
        super().__init__(change_id=change_id, note=note)
        self.key = key

    def apply(self, configuration: Configuration) -> Configuration:
        """Add the key; the team's other keys go on working."""
        if all(team.name != self.key.team for team in configuration.teams):
            raise EditError(f'no such team: {self.key.team}')
        kept = (one for one in configuration.keys if not _same(one, self.key))
        return _copy(configuration, keys=(*kept, self.key))


class IssueOperatorKey(Edit):
    """Add an operator's key."""

    __slots__ = ('operator',)

    def __init__(
        self, *, operator: Operator, change_id: str, note: str = ''
    ) -> None:
        super().__init__(change_id=change_id, note=note)
        self.operator = operator

    def apply(self, configuration: Configuration) -> Configuration:
        """Add the operator's key; others of the same name stay."""
        kept = (
            one
            for one in configuration.operators
            if not _same(one, self.operator)
        )
        return _copy(configuration, operators=(*kept, self.operator))


class WithdrawKey(Edit):
    """Remove the key of a team or of an operator."""

    __slots__ = ('key_id',)

    def __init__(self, *, key_id: str, change_id: str, note: str = '') -> None:
        super().__init__(change_id=change_id, note=note)
        self.key_id = key_id

    def apply(self, configuration: Configuration) -> Configuration:
        """Remove the key or raise EditError where there is none."""
        keys = tuple(
            one for one in configuration.keys if one.key_id != self.key_id
        )
        operators = tuple(
            one for one in configuration.operators if one.key_id != self.key_id
        )
        edited = _copy(configuration, keys=keys, operators=operators)
        if edited == configuration:
            raise EditError(f'no such key: {self.key_id}')
        return edited


class StartDrain(Edit):
    """Plan a drain."""

    __slots__ = ('drain',)

    role: ClassVar[Role] = 'drain'

    def __init__(self, *, drain: Drain, change_id: str, note: str = '') -> None:
        super().__init__(change_id=change_id, note=note)
        self.drain = drain

    def apply(self, configuration: Configuration) -> Configuration:
        """Add the drain or raise EditError for what speaks against it."""
        if self.drain.name not in _list_scope(configuration, self.drain.scope):
            raise EditError(f'no such {self.drain.scope}: {self.drain.name}')
        if _has_drain(configuration, self.drain.drain_id):
            raise TakenError(f'drain exists: {self.drain.drain_id}')
        findings = check_drain(configuration, self.drain, {})
        if findings:
            raise TakenError('; '.join(one.text for one in findings))
        drains = (*configuration.drains, self.drain)
        return _copy(configuration, drains=drains)


class PauseDrain(Edit):
    """Pause a drain, or let it go on."""

    __slots__ = ('drain_id', 'paused')

    role: ClassVar[Role] = 'drain'

    def __init__(
        self, *, drain_id: str, paused: bool, change_id: str, note: str = ''
    ) -> None:
        super().__init__(change_id=change_id, note=note)
        self.drain_id = drain_id
        self.paused = paused

    def apply(self, configuration: Configuration) -> Configuration:
        """Set whether the drain is paused."""
        _need_drain(configuration, self.drain_id)
        drains = tuple(
            _copy(drain, paused=self.paused)
            if drain.drain_id == self.drain_id
            else drain
            for drain in configuration.drains
        )
        return _copy(configuration, drains=drains)


class CancelDrain(Edit):
    """Remove a drain."""

    __slots__ = ('drain_id',)

    role: ClassVar[Role] = 'drain'

    def __init__(
        self, *, drain_id: str, change_id: str, note: str = ''
    ) -> None:
        super().__init__(change_id=change_id, note=note)
        self.drain_id = drain_id

    def apply(self, configuration: Configuration) -> Configuration:
        """Remove the drain or raise EditError where there is none."""
        _need_drain(configuration, self.drain_id)
        drains = tuple(
            drain
            for drain in configuration.drains
            if drain.drain_id != self.drain_id
        )
        return _copy(configuration, drains=drains)


def _same(one: Key | Operator, other: Key | Operator) -> bool:
    return one.key_id == other.key_id


def _list_scope(configuration: Configuration, scope: str) -> set[str]:
    if scope == 'target':
        return {target.name for target in configuration.targets}
    if scope == 'region':
        return {region.name for region in configuration.regions}
    return {
        zone
        for region in configuration.regions
        for zone in region.availability_zones
    }


def _has_drain(configuration: Configuration, drain_id: str) -> bool:
    return any(drain.drain_id == drain_id for drain in configuration.drains)


def _need_drain(configuration: Configuration, drain_id: str) -> None:
    if not _has_drain(configuration, drain_id):
        raise EditError(f'no such drain: {drain_id}')


def _copy(message: Copied, **replaced: Any) -> Copied:
    return type(message)(**{**dict(fields(message)), **replaced})
