"""Messages that carry a target's response back to the caller."""

from math import inf

from currantspur.messages.base import Message
from currantspur.messages.requests import Assignment
from currantspur.messages.targets import TargetLoad, TargetSignals


class ResponseStarted(Message):
    """The head of a response whose body is streamed, which may take long.

    ``signals`` is what the target said of itself, if anything.
    """

    __slots__ = ('assignment', 'signals')

    def __init__(
        self, *, assignment: Assignment, signals: TargetSignals | None
    ) -> None:
        self.assignment = assignment
        self.signals = signals


class ResponseHead(Message):
    """Status and headers of a target's response.

    ``body`` is the whole body, or None if the body follows in chunks. They end
    at ``ends_at``, in seconds of the event loop, also if nobody reads them.
    """

    __slots__ = ('body', 'ends_at', 'headers', 'load', 'signals', 'status')

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None = None,
        load: TargetLoad | None = None,
        signals: TargetSignals | None = None,
        ends_at: float = inf,
    ) -> None:
        self.ends_at = ends_at
        self.signals = signals
        self.status = status
        self.headers = headers
        self.body = body
        self.load = load


class ResponseChunk(Message):
    """The next bytes of a response body that is streamed."""

    __slots__ = ('body',)

    def __init__(self, *, body: bytes) -> None:
        self.body = body
