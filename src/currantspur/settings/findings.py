"""Define findings: what is wrong in a document, and where."""

from currantspur.messages.base import Message


class Finding(Message):
    """Point at one mistake by file, line, column and path."""

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
        """Print as compilers do: file:line:column: path: text."""
        place = f'{self.file}:{self.line}:{self.column}'
        return f'{place}: {self.path or "."}: {self.text}'
