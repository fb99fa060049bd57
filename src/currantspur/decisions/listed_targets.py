"""Keep the states of the targets that are listed."""

from collections.abc import Mapping

from currantspur.decisions.target_state import TargetState
from currantspur.messages import Target
from currantspur.messages.base import Message


class ListChange(Message):
    """The names of targets no longer listed, and how many are new."""

    __slots__ = ('new_count', 'removed_names')

    def __init__(self, *, removed_names: set[str], new_count: int) -> None:
        self.removed_names = removed_names
        self.new_count = new_count


def refresh_states(
    states: dict[str, TargetState], targets: Mapping[str, Target], at: float
) -> ListChange:
    """Update the states by name to the targets that are listed now."""
    removed_names = set(states) - set(targets)
    for name in removed_names:
        states.pop(name)
    # A service whose requests name no object has no warm keys: none of its
    # targets counts as joined.
    warm_services = {
        state.target.service for state in states.values() if state.warm_keys
    }
    new_count = 0
    for target in targets.values():
        state = states.get(target.name)
        if state is None:
            new_count += 1
            states[target.name] = TargetState(
                target, at, has_joined=target.service in warm_services
            )
        else:
            state.update_target(target, at)
    return ListChange(removed_names=removed_names, new_count=new_count)


def group_by_service(
    states: Mapping[str, TargetState],
) -> dict[str, list[TargetState]]:
    """Return the states of the targets of each service."""
    by_service: dict[str, list[TargetState]] = {}
    for state in states.values():
        by_service.setdefault(state.target.service, []).append(state)
    return by_service
