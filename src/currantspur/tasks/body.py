"""Read a request's body so that a small one can be sent again."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

REPLAY_LIMIT_BYTES = 65_536


class BodySource(ABC):
    """Read a body piece by piece; a cancelled read loses nothing."""

    __slots__ = ()

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next piece, empty at the end; raise ConnectionError."""


class RequestBody:
    """Keep the first bytes of a body for another attempt."""

    __slots__ = ('is_cut', 'is_whole', 'kept', 'kept_bytes', 'source')

    def __init__(self, source: BodySource, *, is_empty: bool = False) -> None:
        self.source = source
        self.is_whole = is_empty
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.is_cut = False

    @property
    def is_replayable(self) -> bool:
        """Tell whether all that was read is still kept."""
        return self.kept_bytes <= REPLAY_LIMIT_BYTES

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield what earlier attempts read, then the rest as it comes."""
        for piece in tuple(self.kept):
            yield piece
        while piece := await self._read():
            self._keep(piece)
            yield piece
        self.is_whole = True

    async def _read(self) -> bytes:
        try:
            return await self.source.read()
        except ConnectionError:
            self.is_cut = True
            raise

    def _keep(self, piece: bytes) -> None:
        self.kept_bytes += len(piece)
        if self.is_replayable:
            self.kept.append(piece)
        else:
            self.kept.clear()
