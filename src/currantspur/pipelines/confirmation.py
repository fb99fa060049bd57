"""Confirm, after every wait, that an admitted request may still be sent."""

from abc import abstractmethod
from collections.abc import Iterable, Iterator

from currantspur.messages import Confirmation, Refusal
from currantspur.pipelines.admission import AdmissionState
from currantspur.pipelines.filter import Filter, Pipeline


class Check(Filter[Confirmation, Confirmation]):
    """Judge confirmations; those already refused go by untouched."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def run(self, stream: Iterable[Confirmation]) -> Iterator[Confirmation]:
        """Yield every confirmation, judged."""
        for confirmation in stream:
            if confirmation.refusal is None:
                confirmation.refusal = self.judge(confirmation)
            yield confirmation

    @abstractmethod
    def judge(self, confirmation: Confirmation) -> Refusal | None:
        """Return why a request may no longer be sent."""


class InTime(Check):
    """Refuse requests whose deadline passed while they waited."""

    __slots__ = ()

    def judge(self, confirmation: Confirmation) -> Refusal | None:
        """Compare the deadline with the time."""
        deadline = confirmation.passage.deadline
        if deadline is None or deadline > confirmation.at:
            return None
        return Refusal(code='deadline_passed', detail='no time is left')


class StillFresh(Check):
    """Refuse keyed requests where freshness lapsed during the wait."""

    __slots__ = ()

    def judge(self, confirmation: Confirmation) -> Refusal | None:
        """Let requests without a key and fresh instances go on."""
        state = self.state
        is_open = confirmation.passage.key_id is None
        if is_open or state.freshness.is_fresh(
            confirmation.at, version=state.version
        ):
            return None
        return Refusal(
            code='not_fresh',
            detail='this instance cannot prove that its keys are current',
            retry_after_s=1.0,
        )


class StillKeyed(Check):
    """Refuse requests whose key was withdrawn during the wait."""

    __slots__ = ()

    def judge(self, confirmation: Confirmation) -> Refusal | None:
        """Look the key up again by its public id."""
        key_id = confirmation.passage.key_id
        if key_id is None or self.state.keys.holds(key_id):
            return None
        return Refusal(code='key_unknown', detail='the key was withdrawn')


def assemble_confirmation(state: AdmissionState) -> Pipeline:
    """Join the checks between a wait and the first byte to a target."""
    return Pipeline(InTime(state), StillFresh(state), StillKeyed(state))
