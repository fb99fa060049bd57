"""Find where in an operator's file a call was written."""

from types import FrameType

from currantspur.messages import Message
from currantspur.settings import Finding

CODE_UNIT_BYTES = 2


class Place(Message):
    """Point at a call by file, line and column."""

    __slots__ = ('column', 'file', 'line')

    def __init__(self, *, file: str, line: int, column: int) -> None:
        self.file = file
        self.line = line
        self.column = column

    def blame(self, path: str, text: str) -> Finding:
        """Return a finding at this place."""
        return Finding(
            file=self.file,
            line=self.line,
            column=self.column,
            path=path,
            text=text,
        )


def find_place(frame: FrameType | None) -> Place:
    """Return the place of the call that a frame is in."""
    if frame is None:
        return Place(file='', line=1, column=1)
    code = frame.f_code
    positions = list(code.co_positions())
    line, _, column, _ = positions[frame.f_lasti // CODE_UNIT_BYTES]
    return Place(
        file=code.co_filename,
        line=line or frame.f_lineno,
        column=(column or 0) + 1,
    )
