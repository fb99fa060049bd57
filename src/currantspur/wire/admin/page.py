"""Print the operators' page as plain HTML."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime
from html import escape
from typing import Any

from currantspur.decisions.drains import name_state
from currantspur.messages import (
    Decision,
    Message,
    name_region_limit,
    name_team_limit,
)
from currantspur.messages.operators import LimitUse, MemberStatus, Snapshot

ROWS_LIMIT = 500
NEAR_SHARE = 0.8
STYLE = (
    'body{font:15px/1.4 sans-serif;margin:1.5rem;max-width:75rem}'
    'table{border-collapse:collapse;margin:0 0 1.5rem}'
    'th,td{border:1px solid #888;padding:.2rem .6rem;text-align:left}'
    'td.number{text-align:right}.warning{background:#fdd;color:#700}'
)
Row = Sequence[Any]


class PageModel(Message):
    """Hold what the page shows."""

    __slots__ = ('decisions', 'instance', 'members', 'snapshot', 'uses')

    def __init__(
        self,
        *,
        instance: str,
        snapshot: Snapshot,
        members: list[MemberStatus],
        uses: tuple[LimitUse, ...],
        decisions: list[Decision],
    ) -> None:
        self.instance = instance
        self.snapshot = snapshot
        self.members = members
        self.uses = uses
        self.decisions = decisions


class Warned(Message):
    """Mark a cell that needs a look."""

    __slots__ = ('cell',)

    def __init__(self, cell: Any) -> None:
        self.cell = cell


def print_page(model: PageModel) -> str:
    """Return the page; everything that comes from outside is escaped."""
    return ''.join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            '<meta http-equiv="refresh" content="10">',
            f'<title>{_escape(model.instance)}: traffic</title>',
            f'<style>{STYLE}</style></head><body>',
            *_print_head(model),
            *_print_sections(model),
            '</body></html>',
        )
    )


def _print_head(model: PageModel) -> Iterator[str]:
    head = model.snapshot.head
    version = head.version if head else 0
    author = head.author if head else 'nobody'
    yield f'<h1>Traffic as {_escape(model.instance)} sees it</h1>'
    shown = _print_time(model.snapshot.unix_s)
    yield f'<p>Version {version} by {_escape(author)}, at {shown}.</p>'


def _print_sections(model: PageModel) -> Iterator[str]:
    yield from _print_table(
        'Instances',
        ('instance', 'availability zone', 'state', 'version', 'proof age s'),
        (_row_member(model, one) for one in model.members),
    )
    yield from _print_table(
        'Regions',
        ('region', 'zones', 'intake a second', 'part here', 'asked here'),
        _rows_regions(model),
    )
    yield from _print_table(
        'Teams',
        ('team', 'rate', 'burst', 'part here', 'left here', 'asked here'),
        _rows_teams(model),
    )
    yield from _print_table(
        'Drains',
        ('drain', 'scope', 'name', 'state', 'start', 'pace'),
        _rows_drains(model),
    )
    yield from _print_table(
        'Latest decisions',
        ('time', 'instance', 'subject', 'action', 'reason', 'version'),
        (_row_decision(one) for one in reversed(model.decisions)),
    )


def _row_member(model: PageModel, member: MemberStatus) -> Row:
    head = model.snapshot.head
    newest = head.version if head else 0
    is_current = member.version == newest
    return [
        member.instance.name,
        member.instance.availability_zone,
        member.instance.state,
        member.version if is_current else Warned(member.version),
        member.fresh_age_s,
    ]


def _rows_regions(model: PageModel) -> Iterator[Row]:
    uses = {use.limit: use for use in model.uses}
    for region in model.snapshot.configuration.regions:
        use = uses.get(name_region_limit(region.name))
        yield [
            region.name,
            ', '.join(region.availability_zones),
            region.intake_rate,
            use.part.rate if use else None,
            _mark_demand(use),
        ]


def _rows_teams(model: PageModel) -> Iterator[Row]:
    uses = {use.limit: use for use in model.uses}
    for team in model.snapshot.configuration.teams:
        use = uses.get(name_team_limit(team.name))
        yield [
            team.name,
            team.rate,
            team.burst,
            use.part.rate if use else None,
            use.level if use else None,
            _mark_demand(use),
        ]


def _rows_drains(model: PageModel) -> Iterator[Row]:
    for drain in model.snapshot.configuration.drains:
        yield [
            drain.drain_id,
            drain.scope,
            drain.name,
            name_state(drain, model.snapshot.unix_s),
            _print_time(drain.start_s) if drain.start_s else 'at once',
            drain.pace,
        ]


def _row_decision(decision: Decision) -> Row:
    return [
        _print_time(decision.at_s),
        decision.instance,
        decision.subject,
        decision.action,
        decision.reason,
        decision.version,
    ]


def _mark_demand(use: LimitUse | None) -> Any:
    if use is None:
        return None
    is_near = use.part.rate > 0 and use.demand > NEAR_SHARE * use.part.rate
    return Warned(use.demand) if is_near else use.demand


def _print_table(
    title: str, names: Iterable[str], rows: Iterable[Row]
) -> Iterator[str]:
    yield f'<h2>{_escape(title)}</h2><table><tr>'
    yield from (f'<th>{_escape(name)}</th>' for name in names)
    yield '</tr>'
    for count, row in enumerate(rows, start=1):
        if count > ROWS_LIMIT:
            yield '<tr><td>and more</td></tr>'
            break
        yield f'<tr>{"".join(map(_print_cell, row))}</tr>'
    yield '</table>'


def _print_cell(cell: Any) -> str:
    if isinstance(cell, Warned):
        return f'<td class="warning">{_escape(cell.cell)}</td>'
    if isinstance(cell, int | float):
        return f'<td class="number">{cell:g}</td>'
    return f'<td>{_escape(cell)}</td>'


def _escape(cell: Any) -> str:
    if cell is None:
        return 'unknown'
    return escape(f'{cell:g}' if isinstance(cell, float) else str(cell))


def _print_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, tz=UTC).strftime('%Y-%m-%d %H:%M:%SZ')
