"""Reconstruct what happened to one request from the log lines of instances."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from currantspur.messages.base import Message

LogLine = Mapping[str, Any]
# Kinds of log lines that tell the state of an instance: the newest line of each
# kind says what the instance knew when it decided.
STATE_KINDS = (
    'version_in_force',
    'targets',
    'members',
    'evacuations',
    'dependency_lost',
    'dependency_regained',
    'history_lost',
    'leaving',
)


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
    newest_by_instance: dict[str, dict[str, LogLine]] = {}
    for line in sorted(lines, key=_sort_key):
        newest_by_kind = newest_by_instance.setdefault(line['instance'], {})
        if line.get('request') == request_id:
            known_state = tuple(
                newest_by_kind[kind]
                for kind in STATE_KINDS
                if kind in newest_by_kind
            )
            yield RequestStep(line=line, known_state=known_state)
        elif line['kind'] in STATE_KINDS:
            newest_by_kind[line['kind']] = line


def format_step(step: RequestStep) -> Iterator[str]:
    """Yield the text of a step, then of each known state with its age."""
    line = step.line
    yield f'{line["at"]:.3f} {line["instance"]} {_describe(line)}'
    for state_line in step.known_state:
        age_s = line['now'] - state_line['now']
        yield f'    believed for {age_s:.3f} s: {_describe(state_line)}'


def _sort_key(line: LogLine) -> tuple[float, float]:
    return line['at'], line['now']


def _describe(line: LogLine) -> str:
    described = ' '.join(
        f'{name}={field}'
        for name, field in line.items()
        if name not in {'at', 'now', 'instance', 'kind', 'request'}
    )
    return f'{line["kind"]}: {described}'
