"""Open a span for each hop of a request."""

from abc import ABC, abstractmethod
from typing import Any


class Tracer(ABC):
    """Begin and end spans; a span is passed on as the parent of others."""

    __slots__ = ()

    @abstractmethod
    def begin(self, name: str, parent: Any = None) -> Any:
        """Begin a span, below another one if there is one."""

    @abstractmethod
    def end(self, span: Any, **attributes: str | float) -> None:
        """End a span with what is known of it by then."""


class NoTracer(Tracer):
    """Keep no spans where nobody collects them."""

    __slots__ = ()

    def begin(self, name: str, parent: Any = None) -> None:
        """Begin nothing."""

    def end(self, span: Any, **attributes: str | float) -> None:
        """End nothing."""
