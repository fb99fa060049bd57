"""Define what instances learn of the fleet: versions, proofs, members."""

from typing import Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import Configuration


class Head(Message):
    """Name the newest version and the objects that hold its sections."""

    __slots__ = ('author', 'change_id', 'sections', 'version')

    def __init__(
        self,
        *,
        version: int,
        sections: dict[str, str],
        author: str,
        change_id: str,
    ) -> None:
        self.version = version
        self.sections = sections
        self.author = author
        self.change_id = change_id


class Instance(Message):
    """Describe one entry instance of the fleet."""

    __slots__ = ('address', 'availability_zone', 'name', 'peer', 'state')

    def __init__(
        self,
        *,
        name: str,
        address: str,
        peer: str,
        availability_zone: str,
        state: Literal['live', 'leaving'] = 'live',
    ) -> None:
        """Take where callers connect and where other instances connect."""
        self.name = name
        self.address = address
        self.peer = peer
        self.availability_zone = availability_zone
        self.state = state


class Proof(Message):
    """Prove that a version was the newest at a monotonic time."""

    __slots__ = ('proven_at', 'source', 'version')

    def __init__(
        self, *, version: int, proven_at: float, source: str = 'store'
    ) -> None:
        self.version = version
        self.proven_at = proven_at
        self.source = source


class InForce(Message):
    """Bring a version into force on a task."""

    __slots__ = ('configuration', 'head')

    def __init__(self, *, head: Head, configuration: Configuration) -> None:
        self.head = head
        self.configuration = configuration


class Membership(Message):
    """List the instances that are live or leaving."""

    __slots__ = ('instances',)

    def __init__(self, *, instances: tuple[Instance, ...]) -> None:
        self.instances = instances


class Share(Message):
    """Set this instance's part of every team's rate and burst."""

    __slots__ = ('parts',)

    def __init__(self, *, parts: dict[str, tuple[float, float]]) -> None:
        """Take a rate (requests a second) and a burst for each team."""
        self.parts = parts
