"""Define targets and what is known of their load."""

from currantspur.messages.base import Message


class Target(Message):
    """Name a process that runs requests of a service."""

    __slots__ = (
        'address',
        'availability_zone',
        'born_ms',
        'cold_s',
        'is_leaving',
        'name',
        'service',
        'slots',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        availability_zone: str,
        slots: int,
        is_leaving: bool = False,
        cold_s: float = 0.0,
        born_ms: int = 0,
    ) -> None:
        """Take the seconds left cold and the Unix time of the start."""
        self.name = name
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_leaving = is_leaving
        self.cold_s = cold_s
        self.born_ms = born_ms


class TargetLoad(Message):
    """Tell how many requests a target runs and how many wait there."""

    __slots__ = ('running', 'slots', 'waiting')

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
