"""Define filters and the pipeline that joins them."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import Any, Generic, TypeVar

from currantspur.messages import Refusal, RequestContext

Taken = TypeVar('Taken')
Given = TypeVar('Given')


class Filter(ABC, Generic[Taken, Given]):
    """Turn one stream of messages into another."""

    __slots__ = ()

    @abstractmethod
    def run(self, stream: Iterable[Taken]) -> Iterator[Given]:
        """Yield what comes of each message of the stream."""


class AdmissionCheck(Filter[RequestContext, RequestContext]):
    """Check contexts; those already refused go by untouched."""

    __slots__ = ()

    def run(self, stream: Iterable[RequestContext]) -> Iterator[RequestContext]:
        """Yield every context, checked."""
        for context in stream:
            if context.refusal is None:
                context.refusal = self.check(context)
            yield context

    @abstractmethod
    def check(self, context: RequestContext) -> Refusal | None:
        """Note what was found on the context, or refuse it."""


class Pipeline:
    """Join filters so that each reads what the one before it yields."""

    __slots__ = ('filters',)

    def __init__(self, *filters: Filter[Any, Any]) -> None:
        self.filters = filters

    def run(self, stream: Iterable[Any]) -> Iterator[Any]:
        """Return the stream that leaves the last filter."""
        for each in self.filters:
            stream = each.run(stream)
        return iter(stream)
