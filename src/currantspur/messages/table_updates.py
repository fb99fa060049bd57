"""What the followers of the store's tables have read.

Moments are monotonic seconds of this instance.
"""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.configuration import Configuration
from currantspur.messages.targets import Target

# A moment before all others: there was no such event yet.
NEVER = float('-inf')


class TableSnapshot(Message):
    """All rows of a table at one revision of the store.

    - ``revision``: the revision of the store at which the rows were read.
    - ``newest_row_revision``: the revision of the newest known change to
      this table, -1 if there is none; peers compare it to detect that they
      read stale rows.
    - ``read_at``: monotonic seconds at which this instance received the
      rows.
    - ``outage_ended_at``: when the last outage of the store ended, or NEVER.
    """

    __slots__ = (
        'newest_row_revision',
        'outage_ended_at',
        'read_at',
        'revision',
        'rows_by_key',
        'table',
    )

    def __init__(
        self,
        *,
        table: str,
        rows_by_key: Mapping[str, bytes],
        revision: int,
        read_at: float,
        newest_row_revision: int = -1,
        outage_ended_at: float = NEVER,
    ) -> None:
        self.newest_row_revision = newest_row_revision
        self.table = table
        self.rows_by_key = rows_by_key
        self.revision = revision
        self.read_at = read_at
        self.outage_ended_at = outage_ended_at


class TableConfirmation(Message):
    """The store has confirmed the newest snapshot of a table.

    ``confirmed_at`` is in monotonic seconds.
    """

    __slots__ = ('confirmed_at', 'table')

    def __init__(self, *, table: str, confirmed_at: float) -> None:
        self.table = table
        self.confirmed_at = confirmed_at


class ConfigurationUpdate(Message):
    """A configuration that was read from the store at a revision."""

    __slots__ = ('configuration', 'read_at', 'revision')

    def __init__(
        self, *, configuration: Configuration, revision: int, read_at: float
    ) -> None:
        self.configuration = configuration
        self.revision = revision
        self.read_at = read_at


class EvacuationsUpdate(Message):
    """The evacuated availability zones; their targets get no requests."""

    __slots__ = ('availability_zones', 'read_at', 'revision')

    def __init__(
        self,
        *,
        availability_zones: frozenset[str],
        revision: int,
        read_at: float,
    ) -> None:
        self.availability_zones = availability_zones
        self.revision = revision
        self.read_at = read_at


class TargetsUpdate(Message):
    """All targets by name, at one revision of the store.

    ``outage_ended_at`` is when the last outage of the store ended: targets
    whose rows expired in it need some time to register again.
    """

    __slots__ = ('outage_ended_at', 'read_at', 'revision', 'targets_by_name')

    def __init__(
        self,
        *,
        targets_by_name: Mapping[str, Target],
        revision: int,
        read_at: float,
        outage_ended_at: float = NEVER,
    ) -> None:
        self.targets_by_name = targets_by_name
        self.revision = revision
        self.read_at = read_at
        self.outage_ended_at = outage_ended_at
