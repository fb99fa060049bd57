"""Interface that traces each hop of a request by a span."""

from abc import ABC, abstractmethod
from typing import Any


class Tracer(ABC):
    """Interface that begins and ends spans; callers treat spans as opaque."""

    __slots__ = ()

    @abstractmethod
    def begin(self, name: str, parent: Any = None) -> Any:
        """Begin a span and return it; the parent may be None."""

    @abstractmethod
    def end(self, span: Any, **attributes: str | float) -> None:
        """End a span and set its attributes."""


class NoTracer(Tracer):
    """Tracer of an instance without a trace collector."""

    __slots__ = ()

    def begin(self, name: str, parent: Any = None) -> None:
        """Return None instead of a span."""

    def end(self, span: Any, **attributes: str | float) -> None:
        """Ignore the end of a span."""
