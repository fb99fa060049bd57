"""Record what targets say of themselves, and log what changes."""

from collections.abc import Iterable, Mapping
from typing import Any

from currantspur.decisions.target_signals import SignalKind, SignalTable
from currantspur.decisions.target_state import TargetState
from currantspur.messages import Assignment, TargetNotice, TargetSignals
from currantspur.tasks.journal import Journal

# The source of what a target said in a response to this instance.
RESPONSE_SOURCE = 'response'


class SignalRecorder:
    """Record the signals of targets; a part of the dispatcher."""

    __slots__ = ('journal', 'signals', 'target_states')

    def __init__(
        self,
        journal: Journal,
        signals: SignalTable,
        target_states: Mapping[str, TargetState],
    ) -> None:
        """Record into the table; the states show what rows say of targets."""
        self.journal = journal
        self.signals = signals
        self.target_states = target_states

    def record_response(
        self, assignment: Assignment, signals: TargetSignals | None, at: float
    ) -> None:
        """Record the signals of a response, if there was one."""
        if signals is None:
            return
        for kind in self.signals.record_response(
            assignment.target,
            signals,
            requested_at=assignment.assigned_at,
            at=at,
        ):
            self._log(
                kind,
                assignment.target.name,
                source=RESPONSE_SOURCE,
                age_s=0.0,
                request=assignment.request.request_id,
                retry_after_s=signals.retry_after_s,
            )

    def record_notices(
        self, notices: Iterable[TargetNotice], *, source: str, at: float
    ) -> None:
        """Record what targets said to a peer, the source."""
        for notice in notices:
            for kind in self.signals.record_notice(notice, at):
                self._log(
                    kind, notice.target, source=source, age_s=notice.age_s
                )

    def list_notices(self, at: float) -> tuple[TargetNotice, ...]:
        """Return what peers may not know from the rows of targets."""
        targets = {
            name: state.target for name, state in self.target_states.items()
        }
        return tuple(self.signals.list_notices(targets, at))

    def _log(self, kind: SignalKind, name: str, **fields: Any) -> None:
        state = self.target_states.get(name)
        if kind is SignalKind.LIMIT:
            record = self.signals.record_by_name[name]
            fields['limit_per_s'] = record.limit_per_s
        self.journal.note(
            kind,
            target=name,
            service=state.target.service if state else None,
            is_listed=state is not None,
            row_is_draining=state is not None and state.target.is_draining,
            **fields,
        )
