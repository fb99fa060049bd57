"""Put together what became of one request from the lines of instances."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from currantspur.messages.base import Message

Line = Mapping[str, Any]
# What an instance believed when it decided: the newest line of each kind.
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
    """Hold one line about a request and what its instance believed then."""

    __slots__ = ('known_state', 'line')

    def __init__(self, *, line: Line, known_state: tuple[Line, ...]) -> None:
        self.line = line
        self.known_state = known_state


def explain(lines: Iterable[Line], request_id: str) -> Iterator[RequestStep]:
    """Yield the steps of a request in the order in which they happened.

    Lines of one instance are ordered by its own steady clock; instances are
    ordered among each other by the time of day, which may be off.
    """
    known: dict[str, dict[str, Line]] = {}
    for line in sorted(lines, key=_order):
        instance = known.setdefault(line['instance'], {})
        if line.get('request') == request_id:
            beliefs = tuple(
                instance[kind] for kind in STATE_KINDS if kind in instance
            )
            yield RequestStep(line=line, known_state=beliefs)
        elif line['kind'] in STATE_KINDS:
            instance[line['kind']] = line


def format_step(step: RequestStep) -> Iterator[str]:
    """Yield the text of a step: the line, then each belief with its age."""
    line = step.line
    yield f'{line["at"]:.3f} {line["instance"]} {_describe(line)}'
    for belief in step.known_state:
        age_s = line['now'] - belief['now']
        yield f'    believed for {age_s:.3f} s: {_describe(belief)}'


def _order(line: Line) -> tuple[float, float]:
    return line['at'], line['now']


def _describe(line: Line) -> str:
    told = ' '.join(
        f'{name}={told}'
        for name, told in line.items()
        if name not in {'at', 'now', 'instance', 'kind', 'request'}
    )
    return f'{line["kind"]}: {told}'
