"""Answer questions to the dispatcher where a request would go."""

from collections.abc import Iterable, Iterator
from functools import partial

from currantspur.messages.route_explanations import (
    PlacementExplanation,
    PlacementQuery,
)
from currantspur.pipelines.placement_state import PlacementState
from currantspur.pipelines.route_explanation import explain_placement
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.startup_hold import StartupHold


class PlacementQueries:
    """The questions of one batch, answered after its updates are applied."""

    __slots__ = ('envelopes', 'placement_state', 'startup_hold')

    def __init__(
        self, placement_state: PlacementState, startup_hold: StartupHold
    ) -> None:
        """Take the state of the dispatcher, which is only read."""
        self.placement_state = placement_state
        self.startup_hold = startup_hold
        self.envelopes: list[Envelope] = []

    def take_from(self, envelopes: Iterable[Envelope]) -> Iterator[Envelope]:
        """Keep the questions of a batch and yield all other envelopes."""
        self.envelopes = []
        for envelope in envelopes:
            if isinstance(envelope.message, PlacementQuery):
                self.envelopes.append(envelope)
            else:
                yield envelope

    def answer(self, at: float) -> None:
        """Reply to the questions."""
        is_held = self.startup_hold.is_holding(
            is_ready=bool(self.placement_state.states_by_service), at=at
        )
        for envelope in self.envelopes:
            envelope.resolve(partial(self._explain, at=at, is_held=is_held))

    def _explain(
        self, query: PlacementQuery, *, at: float, is_held: bool
    ) -> PlacementExplanation:
        explanation = explain_placement(query.request, self.placement_state, at)
        explanation.is_held = is_held
        return explanation
