"""Define what tasks need from the outside: a store, targets and peers."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Iterable, Mapping

from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Instance,
    Outgoing,
    Pulse,
)
from currantspur.messages.base import Message
from currantspur.messages.relays import FOREVER
from currantspur.messages.targets import Target


class Reading(Message):
    """Hold rows of a table; a value of None says that the row is gone."""

    __slots__ = ('by_key', 'changed', 'outage_ended_s_ago', 'revision')

    def __init__(
        self,
        *,
        by_key: Mapping[str, bytes | None],
        revision: int,
        changed: int = -1,
        outage_ended_s_ago: float = FOREVER,
    ) -> None:
        """Take the store's revision and that of the newest of these rows.

        A peer that answers for the store tells when an outage last ended.
        """
        self.outage_ended_s_ago = outage_ended_s_ago
        self.by_key = by_key
        self.revision = revision
        self.changed = changed


class Store(ABC):
    """Read and write the platform's tables."""

    __slots__ = ()

    @abstractmethod
    async def read(self, table: str) -> Reading:
        """Return all rows of a table; raise StoreAwayError."""

    @abstractmethod
    async def follow(self, table: str, *, after: int, wait_s: float) -> Reading:
        """Return what changed after a revision, or nothing after a while.

        Raise HistoryLostError where the store does not know that revision any
        more, and StoreAwayError where it gave no answer.
        """

    @abstractmethod
    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows and remove those of None; raise StoreAwayError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class TargetPort(ABC):
    """Send requests to targets."""

    __slots__ = ()

    @abstractmethod
    def send(
        self,
        target: Target,
        outgoing: Outgoing,
        body: bytes,
        *,
        team: str | None,
        left_s: float,
        once: bool,
    ) -> AsyncGenerator[AnswerHead | AnswerChunk]:
        """Yield the answer; raise TargetError where it fails or is cut.

        With once, use a new connection, which tells surely what was sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class PulsePort(ABC):
    """Send pulses to peers, without waiting and without answers."""

    __slots__ = ()

    @abstractmethod
    def send(self, pulse: Pulse, addresses: Iterable[str]) -> None:
        """Send a pulse to each address; a lost one is not repeated."""

    @abstractmethod
    def close(self) -> None:
        """Stop sending and receiving."""


class BodySource(ABC):
    """Read the body of a request."""

    __slots__ = ()

    @abstractmethod
    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body; raise BodyTooLargeError or BodyCutError."""


class InstanceCodec(ABC):
    """Turn the entry of an instance into bytes and back."""

    __slots__ = ()

    @abstractmethod
    def encode(self, instance: Instance) -> bytes:
        """Return the bytes of an entry."""

    @abstractmethod
    def decode(self, encoded: bytes) -> Instance | None:
        """Return an entry, or None for bytes that are none."""
