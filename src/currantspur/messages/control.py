"""Define what instances learn of the fleet: versions, proofs, members."""

from typing import Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import Configuration
from currantspur.messages.plan import Plan


class Change(Message):
    """Ask for new sections on top of a base version."""

    __slots__ = ('author', 'base_version', 'change_id', 'note', 'sections')

    def __init__(
        self,
        *,
        change_id: str,
        base_version: int,
        sections: dict[str, bytes],
        author: str,
        note: str = '',
    ) -> None:
        """Take the new bodies by section; the others stay as they are."""
        self.change_id = change_id
        self.base_version = base_version
        self.sections = sections
        self.author = author
        self.note = note


class Head(Message):
    """Name the newest version and the objects that hold its sections."""

    __slots__ = (
        'at_s',
        'author',
        'change_id',
        'committers',
        'note',
        'sections',
        'version',
    )

    def __init__(
        self,
        *,
        version: int,
        sections: dict[str, str],
        author: str,
        change_id: str,
        note: str = '',
        at_s: float = 0.0,
        committers: dict[str, str] | None = None,
    ) -> None:
        """Take the object of each section, Unix time, and committers' peers.

        A majority of the committers has to know of the next version before
        the store does.
        """
        self.committers = committers or {}
        self.at_s = at_s
        self.note = note
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


class Sighting(Message):
    """Report that a version was seen as the newest, and where."""

    __slots__ = ('head', 'proof', 'source')

    def __init__(
        self,
        *,
        proof: Proof,
        head: Head | None = None,
        source: Instance | None = None,
    ) -> None:
        """Take the head if the store gave it, else the peer that knows it."""
        self.proof = proof
        self.head = head
        self.source = source


class Registration(Message):
    """Begin the registration of a committer, or finish it under a row."""

    __slots__ = ('newest', 'row_version')

    def __init__(
        self, *, row_version: int | None = None, newest: int = 0
    ) -> None:
        self.row_version = row_version
        self.newest = newest


class WitnessQuery(Message):
    """Ask the own witness how it stands."""

    __slots__ = ()


class WitnessState(Message):
    """Say whether the witness is registered and how old its open writes are."""

    __slots__ = ('is_registered', 'oldest_s')

    def __init__(self, *, is_registered: bool, oldest_s: float) -> None:
        self.is_registered = is_registered
        self.oldest_s = oldest_s


class PeerSight(Message):
    """Report that a peer answered, or did not."""

    __slots__ = ('answered', 'name')

    def __init__(self, *, name: str, answered: bool) -> None:
        self.name = name
        self.answered = answered


class Listed(Message):
    """Report whom the platform lists, or whom a peer knows."""

    __slots__ = ('by_peer', 'instances')

    def __init__(
        self, *, instances: tuple[Instance, ...], by_peer: bool
    ) -> None:
        self.instances = instances
        self.by_peer = by_peer


class InForce(Message):
    """Bring a version into force on a task."""

    __slots__ = ('configuration', 'head', 'plan', 'skipped')

    def __init__(
        self,
        *,
        head: Head,
        configuration: Configuration,
        plan: Plan | None = None,
        skipped: tuple[Plan, ...] | None = (),
    ) -> None:
        """Take the plans of versions never held; None: too many to know."""
        self.head = head
        self.configuration = configuration
        self.plan = plan or Plan()
        self.skipped = skipped


class Membership(Message):
    """List the instances that are live or leaving."""

    __slots__ = ('instances',)

    def __init__(self, *, instances: tuple[Instance, ...]) -> None:
        self.instances = instances
