"""Define what tasks need from the outside: a store, targets and peers."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Iterable, Mapping

from currantspur.messages import (
    Heartbeat,
    Instance,
    OutgoingRequest,
    ResponseChunk,
    ResponseHead,
)
from currantspur.messages.table_rows import RowsResponse
from currantspur.messages.targets import Target


class Store(ABC):
    """Read and write the platform's tables."""

    __slots__ = ()

    @abstractmethod
    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table; raise StoreAwayError."""

    @abstractmethod
    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what changed after a revision, or nothing after a while.

        Raise HistoryLostError where the store does not know that revision any
        more, and StoreAwayError where it gave no answer.
        """

    @abstractmethod
    def report_stale(self, table: str) -> None:
        """Note that whoever was asked for a table last is behind."""

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
        outgoing: OutgoingRequest,
        body: bytes,
        *,
        team: str | None,
        timeout_s: float,
        new_connection: bool,
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        """Yield the answer; raise TargetError where it fails or is cut.

        With new_connection, use a new connection, which tells surely what
        was sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HeartbeatPort(ABC):
    """Send heartbeats to peers, without waiting and without answers."""

    __slots__ = ()

    @abstractmethod
    def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to each address; a lost one is not repeated."""

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
