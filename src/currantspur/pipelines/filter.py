"""Filters over streams of messages and the pipeline that chains them."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import Any, Generic, TypeVar

from currantspur.messages import Refusal, RequestContext

Input = TypeVar('Input')
Output = TypeVar('Output')


class Filter(ABC, Generic[Input, Output]):
    """Turn one stream of messages into another."""

    __slots__ = ()

    @abstractmethod
    def run(self, stream: Iterable[Input]) -> Iterator[Output]:
        """Yield the results for the messages of the stream."""


class AdmissionCheck(Filter[RequestContext, RequestContext]):
    """Check request contexts; those already refused pass unchanged."""

    __slots__ = ()

    def run(self, stream: Iterable[RequestContext]) -> Iterator[RequestContext]:
        """Yield every context; one that fails the check carries a refusal."""
        for context in stream:
            if context.refusal is None:
                context.refusal = self.check(context)
            yield context

    @abstractmethod
    def check(self, context: RequestContext) -> Refusal | None:
        """Return the refusal, or None after setting fields of the context."""


class Pipeline:
    """A chain of filters, each of which reads what the previous one yields."""

    __slots__ = ('filters',)

    def __init__(self, *filters: Filter[Any, Any]) -> None:
        self.filters = filters

    def run(self, stream: Iterable[Any]) -> Iterator[Any]:
        """Return the stream of the last filter; it is evaluated lazily."""
        for each in self.filters:
            stream = each.run(stream)
        return iter(stream)
