"""Define targets and what is known of their load."""

from currantspur.messages.base import Message


class Target(Message):
    """Name a process that runs requests of a service."""

    __slots__ = (
        'address',
        'availability_zone',
        'cold_remaining_s',
        'is_draining',
        'name',
        'service',
        'slots',
        'started_at_unix_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        availability_zone: str,
        slots: int,
        is_draining: bool = False,
        cold_remaining_s: float = 0.0,
        started_at_unix_ms: int = 0,
    ) -> None:
        """Take the seconds left cold and the Unix time of the start."""
        self.name = name
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_remaining_s = cold_remaining_s
        self.started_at_unix_ms = started_at_unix_ms


class TargetLoad(Message):
    """Tell how many requests a target runs and how many wait there."""

    __slots__ = ('queued', 'running', 'slots')

    def __init__(self, *, running: int, queued: int, slots: int) -> None:
        self.running = running
        self.queued = queued
        self.slots = slots
