"""Split whole units by weight, close to an earlier split."""

from collections.abc import Mapping
from math import ceil, floor

# A holder may stand this far from its ideal count before units move.
SLACK = 0.25


def apportion(
    units: int, weights: Mapping[str, float], before: Mapping[str, int]
) -> dict[str, int]:
    """Return the units of each holder; together they are all units."""
    if not weights:
        return {}
    ideals = _idealise(units, weights)
    counts = {
        name: min(before.get(name, 0), ceil(ideal * (1 + SLACK)))
        for name, ideal in ideals.items()
    }
    _trim(counts, ideals, sum(counts.values()) - units)
    _fill(counts, ideals, units - sum(counts.values()))
    _level(counts, ideals)
    return counts


def _idealise(units: int, weights: Mapping[str, float]) -> dict[str, float]:
    whole = sum(weights.values())
    return {name: units * weight / whole for name, weight in weights.items()}


def _trim(
    counts: dict[str, int], ideals: Mapping[str, float], excess: int
) -> None:
    """Take what is too much from those furthest above their ideal."""
    for name in _order(counts, ideals, reverse=True):
        taken = max(0, min(excess, counts[name] - floor(ideals[name])))
        counts[name] -= taken
        excess -= taken


def _fill(
    counts: dict[str, int], ideals: Mapping[str, float], free: int
) -> None:
    """Give free units to those furthest below their ideal."""
    for limit in (floor, ceil):
        for name in _order(counts, ideals):
            given = max(0, min(free, limit(ideals[name]) - counts[name]))
            counts[name] += given
            free -= given


def _level(counts: dict[str, int], ideals: Mapping[str, float]) -> None:
    """Move units to those too far below their ideal, from few others."""
    for name in _order(counts, ideals):
        if counts[name] >= floor(ideals[name] * (1 - SLACK)):
            continue
        need = floor(ideals[name]) - counts[name]
        for donor in _order(counts, ideals, reverse=True):
            spare = counts[donor] - ceil(ideals[donor] * (1 - SLACK))
            moved = max(0, min(need, spare))
            counts[donor] -= moved
            counts[name] += moved
            need -= moved


def _order(
    counts: Mapping[str, int],
    ideals: Mapping[str, float],
    *,
    reverse: bool = False,
) -> list[str]:
    return sorted(
        counts,
        key=lambda name: counts[name] - ideals[name],
        reverse=reverse,
    )
