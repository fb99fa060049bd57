"""Define how tasks reach peers."""

from abc import ABC, abstractmethod

from currantspur.messages import Instance, Message


class PeerPort(ABC):
    """Ask other instances; a lost question or answer is an error."""

    __slots__ = ()

    @abstractmethod
    async def ask(
        self, peer: Instance, message: Message, *, timeout_s: float
    ) -> Message:
        """Return the answer or raise PeerAwayError."""
