"""Keep a copy of an answer as it passes, within a bound."""

from currantspur.decisions.claims import ANSWER_LIMIT_BYTES
from currantspur.messages import (
    AnswerChunk,
    AnswerHead,
    Refusal,
    StoredAnswer,
)


class Recording:
    """Collect the parts of one answer."""

    __slots__ = ('chunks', 'head', 'size_bytes')

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.chunks: list[bytes] = []
        self.size_bytes = 0

    def add(self, part: AnswerHead | AnswerChunk | Refusal) -> None:
        """Take the next part; the bytes of a large answer are let go."""
        if isinstance(part, AnswerHead):
            self.head = part
        elif isinstance(part, AnswerChunk):
            self.size_bytes += len(part.body)
            if self.size_bytes <= ANSWER_LIMIT_BYTES:
                self.chunks.append(part.body)
            else:
                self.chunks.clear()

    def finish(self) -> StoredAnswer | None:
        """Return the whole answer unless it was too large."""
        if self.head is None or self.size_bytes > ANSWER_LIMIT_BYTES:
            return None
        return StoredAnswer(
            status=self.head.status,
            headers=self.head.headers,
            body=b''.join(self.chunks),
        )
