"""Interface that follows a choice of a target through its filters."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Final, TypeVar

from currantspur.decisions.cost_model import Candidate
from currantspur.decisions.target_state import TargetState

Passing = TypeVar('Passing', TargetState, Candidate)


class PlacementObserver(ABC):
    """Follow which targets pass each filter; the choice stays the same."""

    __slots__ = ()

    @abstractmethod
    def begin_pass(self, scope: str, states: Iterable[TargetState]) -> None:
        """Record that the filters are applied to these targets next."""

    @abstractmethod
    def watch(
        self, filter_name: str, stream: Iterable[Passing]
    ) -> Iterable[Passing]:
        """Return the targets that pass a filter, in the same order."""

    @abstractmethod
    def record_shift(
        self, preferred: Candidate, *, is_cross_region: bool
    ) -> None:
        """Record the cheapest target and the decision of the limiter."""


class NoObserver(PlacementObserver):
    """Leave the streams as they are, for requests that are really placed."""

    __slots__ = ()

    def begin_pass(self, scope: str, states: Iterable[TargetState]) -> None:
        """Do nothing."""

    def watch(
        self, filter_name: str, stream: Iterable[Passing]
    ) -> Iterable[Passing]:
        """Return the stream itself, which stays lazy."""
        return stream

    def record_shift(
        self, preferred: Candidate, *, is_cross_region: bool
    ) -> None:
        """Do nothing."""


UNOBSERVED: Final = NoObserver()
