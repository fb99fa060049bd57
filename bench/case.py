"""Define benchmark cases and what they measure."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

from currantspur.messages.base import Message


class Figure(Message):
    """Name one figure of a case with its unit."""

    __slots__ = ('name', 'reading', 'unit')

    def __init__(self, *, name: str, reading: float, unit: str) -> None:
        self.name = name
        self.reading = reading
        self.unit = unit


class Case(ABC):
    """Measure one matter; the same seed measures the same work."""

    __slots__ = ()

    name: str

    @abstractmethod
    def run(self, seed: int) -> Iterator[Figure]:
        """Yield the figures of one run."""
