"""Define the base of every typed message."""

from collections.abc import Iterator
from typing import Any


class Message:
    """Compare and print a slotted class by its fields."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        """Compare all fields of two messages of one class."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return list(fields(self)) == list(fields(other))

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        """Print the class with its fields."""
        shown = ', '.join(f'{name}={field!r}' for name, field in fields(self))
        return f'{type(self).__name__}({shown})'


def fields(message: Message) -> Iterator[tuple[str, Any]]:
    """Yield the name and value of each slot, base classes first."""
    for kind in reversed(type(message).__mro__):
        for name in getattr(kind, '__slots__', ()):
            yield name, getattr(message, name)
