"""Make the seeded load of the model: requests a second by zone and team."""

import math
import random
from typing import Literal

from currantspur.messages import Configuration, Message, Team

DAY_S = 600.0
SWING = 0.3
PEAK_START_S = 180.0
PEAK_END_S = 280.0
NOISE = 0.05
SPREAD = (0.5, 1.5)
BUSY_ZONES = 2
Shape = Literal['diurnal', 'vintage', 'race-day']


class Load(Message):
    """Hold the shape of the load and what it is drawn from."""

    __slots__ = ('greedy', 'peak', 'rng', 'scale', 'shape', 'weights', 'zones')

    def __init__(
        self,
        *,
        shape: Shape,
        seed: int,
        zones: tuple[str, ...],
        scale: float,
        peak: float,
        greedy: float,
    ) -> None:
        """Take the mean share of a team's rate, the peak and the excess."""
        self.shape = shape
        self.rng = random.Random(seed)
        self.zones = zones
        self.scale = scale
        self.peak = peak
        self.greedy = greedy
        spread = [self.rng.uniform(*SPREAD) for _ in zones]
        total = sum(spread)
        self.weights = {
            zone: part / total for zone, part in zip(zones, spread, strict=True)
        }

    def draw(
        self, configuration: Configuration, at: float
    ) -> dict[str, dict[str, float]]:
        """Return what each zone's callers of each team want now."""
        teams = configuration.teams
        wants: dict[str, dict[str, float]] = {}
        for index, zone in enumerate(self.zones):
            level = self.level(at, index)
            weight = self.weights[zone]
            wants[zone] = {
                team.name: self._want(team, teams[1], level * weight)
                for team in teams
            }
        return wants

    def level(self, at: float, place: int) -> float:
        """Return the share of the rates that is wanted at a time."""
        phase = place / len(self.zones)
        level = self.scale * (
            1.0 + SWING * math.sin(math.tau * (at / DAY_S + phase))
        )
        if not PEAK_START_S <= at < PEAK_END_S:
            return level
        if self.shape == 'race-day':
            is_busy = place < BUSY_ZONES
        else:
            is_busy = self.shape == 'vintage'
        return level * self.peak if is_busy else level

    def _want(self, team: Team, greedy: Team, level: float) -> float:
        excess = self.greedy if team is greedy else 1.0
        noise = self.rng.uniform(1 - NOISE, 1 + NOISE)
        return team.rate * level * excess * noise
