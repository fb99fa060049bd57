"""Reconstruct what happened to one request from the log lines of instances."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from currantspur.messages.base import Message

LogLine = Mapping[str, Any]
# Kinds of log lines that tell the state of an instance: the newest line of each
# kind, and of each target in it, says what the instance knew when it decided.
STATE_KINDS = (
    'version_in_force',
    'targets',
    'members',
    'evacuations',
    'dependency_lost',
    'dependency_regained',
    'history_lost',
    'leaving',
    'overload',
    'target_leaving',
    'target_limit',
    'target_pause',
)
# Kind and target of a line, without a target in most kinds.
StateKey = tuple[str, str]


class RequestStep(Message):
    """A log line about a request and what its instance knew at that time."""

    __slots__ = ('known_state', 'line')

    def __init__(
        self, *, line: LogLine, known_state: tuple[LogLine, ...]
    ) -> None:
        self.line = line
        self.known_state = known_state


def explain(lines: Iterable[LogLine], request_id: str) -> Iterator[RequestStep]:
    """Yield the steps of a request in the order in which they happened.

    Lines are ordered by Unix time, on which instances may disagree; those of
    equal Unix time by the monotonic clock.
    """
    newest_by_instance: dict[str, dict[StateKey, LogLine]] = {}
    for line in sorted(lines, key=_sort_key):
        newest_by_key = newest_by_instance.setdefault(line['instance'], {})
        if line.get('request') == request_id:
            known_state = tuple(
                newest_by_key[key]
                for key in sorted(newest_by_key, key=_order_state)
            )
            yield RequestStep(line=line, known_state=known_state)
        # What a target said in a response is a line about that request, too.
        if line['kind'] in STATE_KINDS:
            newest_by_key[line['kind'], line.get('target', '')] = line


def format_step(step: RequestStep) -> Iterator[str]:
    """Yield the text of a step, then of each known state with its age."""
    line = step.line
    yield f'{line["at"]:.3f} {line["instance"]} {_describe(line)}'
    for state_line in step.known_state:
        age_s = line['now'] - state_line['now']
        yield f'    believed for {age_s:.3f} s: {_describe(state_line)}'


def _order_state(key: StateKey) -> tuple[int, str]:
    kind, target = key
    return STATE_KINDS.index(kind), target


def _sort_key(line: LogLine) -> tuple[float, float]:
    return line['at'], line['now']


def _describe(line: LogLine) -> str:
    described = ' '.join(
        f'{name}={field}'
        for name, field in line.items()
        if name not in {'at', 'now', 'instance', 'kind', 'request'}
    )
    return f'{line["kind"]}: {described}'
