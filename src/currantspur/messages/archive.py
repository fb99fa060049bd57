"""Define what the tasks of one instance keep for its peers."""

from currantspur.messages.base import Message


class Kept(Message):
    """Hand over head texts by version and the bodies in force by name."""

    __slots__ = ('bodies', 'heads')

    def __init__(
        self, *, heads: dict[int, str], bodies: dict[str, bytes]
    ) -> None:
        self.heads = heads
        self.bodies = bodies
