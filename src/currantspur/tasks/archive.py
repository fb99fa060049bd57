"""Own the heads and objects that peers may copy."""

from collections.abc import Iterable

from currantspur.messages import (
    HeadAnswer,
    HeadRequest,
    Message,
    ObjectAnswer,
    ObjectRequest,
)
from currantspur.messages.archive import Kept
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

KEPT_HEADS = 16


class Archive(Task):
    """Answer peers that lack a head or an object."""

    __slots__ = ('bodies', 'heads', 'newest')

    def __init__(self) -> None:
        super().__init__()
        self.newest = 0
        self.heads: dict[int, str] = {}
        self.bodies: dict[str, bytes] = {}

    def receive(self, letters: Iterable[Letter]) -> None:
        """Keep what came into force and answer from it."""
        for letter in letters:
            letter.answer(self.handle(letter.message))

    def handle(self, message: Message) -> Message | None:
        """Return the answer to a message, if it has one."""
        if isinstance(message, Kept):
            self._keep(message)
        elif isinstance(message, HeadRequest):
            version = message.version or self.newest
            return HeadAnswer(text=self.heads.get(version, ''))
        elif isinstance(message, ObjectRequest):
            body = self.bodies.get(message.name)
            return ObjectAnswer(found=body is not None, body=body or b'')
        return None

    def _keep(self, kept: Kept) -> None:
        self.newest = max(self.newest, *kept.heads)
        self.heads.update(kept.heads)
        self.bodies = dict(kept.bodies)
        for version in sorted(self.heads)[:-KEPT_HEADS]:
            self.heads.pop(version)
