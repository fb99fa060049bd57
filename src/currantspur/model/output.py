"""Write rows of measures as CSV and draw them."""

import csv
from collections.abc import Iterable
from pathlib import Path

from currantspur.model.measure import Row

DIGITS = 4
COLUMNS = (
    'fault',
    'policy',
    'region_load',
    'steered',
    'shift',
    'drain_s',
    'latency_ms',
    'p99_ms',
    'headroom',
    'worst_team',
    'refused',
)
MEASURES = ('steered', 'shift', 'p99_ms', 'headroom', 'worst_team', 'refused')
WIDTH_IN = 12.0
HEIGHT_IN = 3.0


def write_csv(rows: Iterable[Row], path: Path) -> None:
    """Write a line for each row."""
    with path.open('w', encoding='utf-8', newline='') as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        for row in rows:
            writer.writerow(_round(getattr(row, name)) for name in COLUMNS)


def draw_plots(rows: list[Row], path: Path) -> None:
    """Draw each measure by fault and policy; needs the plots extra."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(MEASURES), 1, sharex=True, figsize=(WIDTH_IN, HEIGHT_IN * 6)
    )
    policies = list(dict.fromkeys(row.policy for row in rows))
    for axis, name in zip(axes, MEASURES, strict=True):
        for policy in policies:
            chosen = [row for row in rows if row.policy == policy]
            axis.plot(
                [row.fault for row in chosen],
                [getattr(row, name) for row in chosen],
                marker='o',
                label=policy,
            )
        axis.set_ylabel(name)
    axes[0].legend()
    figure.autofmt_xdate()
    figure.savefig(path)


def _round(cell: object) -> object:
    return round(cell, DIGITS) if isinstance(cell, float) else cell
