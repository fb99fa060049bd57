"""Record which targets each filter of placement leaves out."""

from collections.abc import Iterable

from currantspur.decisions.cost_model import Candidate
from currantspur.decisions.target_state import TargetState
from currantspur.messages.route_explanations import (
    FilterRejects,
    PassExplanation,
)
from currantspur.pipelines.placement_observer import Passing, PlacementObserver

# Names listed by filter; all targets are counted.
MAX_REJECTED_NAMES = 20


class PlacementRecorder(PlacementObserver):
    """Record the passes of the filters and the last targets compared."""

    __slots__ = ('candidates', 'crosses_region', 'names', 'passes', 'preferred')

    def __init__(self) -> None:
        self.passes: list[PassExplanation] = []
        # Names that passed the filters of the current pass so far, in order.
        self.names: tuple[str, ...] = ()
        self.candidates: list[Candidate] = []
        self.preferred: Candidate | None = None
        self.crosses_region: bool | None = None

    def begin_pass(self, scope: str, states: Iterable[TargetState]) -> None:
        """Begin with the names of all targets of the pass."""
        self.names = _list_names(states)
        self.passes.append(
            PassExplanation(scope=scope, target_count=len(self.names))
        )

    def watch(
        self, filter_name: str, stream: Iterable[Passing]
    ) -> Iterable[Passing]:
        """Apply the filter at once and record what it leaves out."""
        passing = list(stream)
        self.candidates = []
        states: list[TargetState] = []
        for each in passing:
            if isinstance(each, Candidate):
                self.candidates.append(each)
                states.append(each.state)
            else:
                states.append(each)
        names = _list_names(states)
        left_out = tuple(sorted(set(self.names) - set(names)))
        self.names = names
        if left_out:
            self.passes[-1].left_out += (
                FilterRejects(
                    filter_name=filter_name,
                    count=len(left_out),
                    targets=left_out[:MAX_REJECTED_NAMES],
                ),
            )
        return passing

    def record_shift(
        self, preferred: Candidate, *, is_cross_region: bool
    ) -> None:
        """Keep the cheapest target and the decision of the limiter."""
        self.preferred = preferred
        self.crosses_region = is_cross_region


def _list_names(states: Iterable[TargetState]) -> tuple[str, ...]:
    # A joined target that is due a first request may be listed twice.
    return tuple(dict.fromkeys(state.target.name for state in states))
