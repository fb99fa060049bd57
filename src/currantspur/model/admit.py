"""Admit what arrives: team rates first, then room, fairly by team."""

from collections.abc import Mapping

Arriving = dict[tuple[str, str], float]
Wants = Mapping[str, Mapping[str, float]]


def limit_rates(
    wants: Wants, rates: Mapping[str, float]
) -> dict[str, dict[str, float]]:
    """Return the part of each want that is inside the team's rate."""
    totals = {
        team: sum(by_team[team] for by_team in wants.values()) for team in rates
    }
    shares = {
        team: min(1.0, rate / totals[team]) if totals[team] > 0 else 1.0
        for team, rate in rates.items()
    }
    return {
        zone: {team: rate * shares[team] for team, rate in by_team.items()}
        for zone, by_team in wants.items()
    }


def share_fairly(asked: Mapping[str, float], room: float) -> dict[str, float]:
    """Split room so that nobody gets more than asked, the smallest first."""
    granted = {}
    left = room
    waiting = sorted(asked.items(), key=lambda pair: pair[1])
    for index, (name, amount) in enumerate(waiting):
        granted[name] = min(amount, left / (len(waiting) - index))
        left -= granted[name]
    return granted


def admit(arriving: Arriving, room: float, *, fairly: bool) -> Arriving:
    """Return what runs of what arrives at a place."""
    total = sum(arriving.values())
    if total <= room or total <= 0:
        return dict(arriving)
    if not fairly:
        return {key: amount * room / total for key, amount in arriving.items()}
    asked: dict[str, float] = {}
    for (_, team), amount in arriving.items():
        asked[team] = asked.get(team, 0.0) + amount
    granted = share_fairly(asked, room)
    shares = {
        team: granted[team] / amount
        for team, amount in asked.items()
        if amount > 0
    }
    return {
        (origin, team): amount * shares.get(team, 0.0)
        for (origin, team), amount in arriving.items()
    }
