"""Interfaces that tasks use to reach the store, targets and peers."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Iterable, Mapping

from currantspur.messages import (
    Heartbeat,
    OutgoingRequest,
    ResponseChunk,
    ResponseHead,
    ZoneDigest,
)
from currantspur.messages.table_rows import RowsResponse
from currantspur.messages.targets import Target


class Store(ABC):
    """Interface that reads and writes tables of the platform's store."""

    __slots__ = ()

    @abstractmethod
    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table; raise StoreAwayError if unreachable."""

    @abstractmethod
    async def read_range(
        self, table: str, from_key: str, to_key: str
    ) -> RowsResponse:
        """Return the rows from a key up to, but not including, another."""

    @abstractmethod
    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return rows changed after a revision; empty if none within wait_s.

        Raise HistoryLostError if the store no longer knows the changes since
        that revision and StoreAwayError if it does not respond.
        """

    @abstractmethod
    def report_stale(self, table: str, *, better_source: str) -> None:
        """Report that the latest source of a table lacks newer changes.

        The better source is the address of a peer that has them.
        """

    @abstractmethod
    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows and remove those whose value is None.

        Raise StoreAwayError if the store does not respond; the write may have
        happened.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class TargetPort(ABC):
    """Interface that sends requests to targets."""

    __slots__ = ()

    @abstractmethod
    def send(
        self,
        target: Target,
        outgoing_request: OutgoingRequest,
        body: bytes | bytearray,
        *,
        team: str | None,
        timeout_s: float,
        new_connection: bool,
    ) -> AsyncGenerator[ResponseHead | ResponseChunk]:
        """Yield the head of the response, then the rest of its body in chunks.

        Raise TargetError if the attempt fails or the response is cut short.
        With new_connection, open a connection for this request: only then is
        it certain after a failure whether anything was sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HeartbeatPort(ABC):
    """Interface that sends heartbeats to peers without waiting for replies."""

    __slots__ = ()

    @abstractmethod
    def send(
        self, message: Heartbeat | ZoneDigest, addresses: Iterable[str]
    ) -> None:
        """Send a message to each address; lost ones are not sent again."""

    @abstractmethod
    def close(self) -> None:
        """Stop sending and receiving heartbeats."""


class BodySource(ABC):
    """Interface that reads the body of a caller's request."""

    __slots__ = ()

    @abstractmethod
    async def read(self, limit_bytes: int) -> bytes | bytearray:
        """Return the whole body.

        Raise BodyTooLargeError, BodyCutError, or BudgetFullError if there is
        no room for it.
        """
