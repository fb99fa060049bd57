"""Print tables for people."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

ABSENT = '-'


def print_table(rows: Iterable[Mapping[str, Any]], names: Sequence[str]) -> str:
    """Return rows as aligned columns under their names."""
    cells = [list(names)]
    cells.extend([print_cell(row.get(name)) for name in names] for row in rows)
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return ''.join(_print_line(line, widths) for line in cells)


def print_cell(cell: Any) -> str:
    """Return a cell; control characters are shown, not obeyed."""
    if cell is None or cell == '':
        return ABSENT
    if isinstance(cell, float):
        return f'{cell:.3f}'.rstrip('0').rstrip('.')
    text = str(cell)
    return text if text.isprintable() else repr(text)


def print_time(unix_s: float) -> str:
    """Return a Unix time in UTC."""
    return datetime.fromtimestamp(unix_s, tz=UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def _print_line(line: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    )
    return f'{"  ".join(padded).rstrip()}\n'
