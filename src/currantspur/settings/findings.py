"""Findings about a document."""

from currantspur.messages.base import Message


class Finding(Message):
    """A mistake in a document and its position.

    Line and column count from 1. ``path`` joins the keys above the mistake
    with dots; it is empty for the document itself.
    """

    __slots__ = ('column', 'file', 'line', 'path', 'text')

    def __init__(
        self, *, file: str, line: int, column: int, path: str, text: str
    ) -> None:
        self.file = file
        self.line = line
        self.column = column
        self.path = path
        self.text = text

    def __str__(self) -> str:
        """Return ``file:line:column: path: text``, the form of compilers."""
        place = f'{self.file}:{self.line}:{self.column}'
        return f'{place}: {self.path or "."}: {self.text}'
