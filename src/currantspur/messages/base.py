"""Base class of the typed messages."""

from collections.abc import Iterator
from typing import Any


class Message:
    """Base class of messages, which compares and prints them by their slots.

    Messages are mutable and therefore not hashable.
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        """Compare the fields of messages of the same class or a subclass."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return list(fields(self)) == list(fields(other))

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        """Return the class name with the names and values of all fields."""
        listed = ', '.join(f'{name}={field!r}' for name, field in fields(self))
        return f'{type(self).__name__}({listed})'


def fields(message: Message) -> Iterator[tuple[str, Any]]:
    """Yield the name and value of each slot, base classes first."""
    for base in reversed(type(message).__mro__):
        for name in getattr(base, '__slots__', ()):
            yield name, getattr(message, name)
