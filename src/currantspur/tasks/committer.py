"""Commit changes as the next version."""

from abc import ABC, abstractmethod

from currantspur.messages import Change, Head
from currantspur.platform import Platform, publish_sections


class Committer(ABC):
    """Turn a change into the next version."""

    __slots__ = ()

    @abstractmethod
    async def commit(self, change: Change) -> Head:
        """Return the head that holds the change, or raise ConflictError."""


class DirectCommitter(Committer):
    """Commit to the platform at once."""

    __slots__ = ('platform',)

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def commit(self, change: Change) -> Head:
        """Return the head that holds the change, or raise ConflictError."""
        return await publish_sections(self.platform, change)
