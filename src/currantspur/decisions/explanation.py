"""Put decisions in words, and choose those that a question is about."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

from currantspur.messages import Decision, Question


def select(
    decisions: Iterable[Decision], question: Question
) -> Iterator[Decision]:
    """Yield the decisions that a question asks for."""
    for decision in decisions:
        is_asked = (
            question.since_s <= decision.at_s <= question.until_s
            and question.team in {None, decision.team}
            and question.request_id in {None, decision.request_id}
        )
        if is_asked and concerns(decision, question.subject):
            yield decision


def concerns(decision: Decision, subject: str | None) -> bool:
    """Tell whether a decision is about a target, zone, region or version."""
    if subject in {None, decision.subject}:
        return True
    names = {name.strip() for name in decision.subject.split(',')}
    names.update(each.name for each in decision.evidence)
    return subject in names


def explain(decision: Decision) -> Iterator[str]:
    """Yield what was decided, why, on what evidence, and what was not done."""
    when = datetime.fromtimestamp(decision.at_s, tz=UTC)
    who = f' ({decision.instance})' if decision.instance else ''
    yield f'{when:%Y-%m-%d %H:%M:%S}Z{who}'
    yield f'  {decision.subject}: {decision.action}'
    yield f'  because {decision.reason}'
    for each in decision.evidence:
        yield f'  seen: {each.name} {each.reading}, {each.age_s:.1f} s old'
    for alternative in decision.rejected:
        yield f'  not done: {alternative}'
    if decision.version:
        author = decision.author or 'unknown'
        yield f'  rules: version {decision.version} by {author}'
    if decision.team:
        yield f'  team: {decision.team}'
    if decision.request_id:
        yield f'  request: {decision.request_id}'
