"""Rank requests by urgency, and measure what each rank asks for.

Rank 0 is the most urgent.
"""

from collections.abc import Mapping

from currantspur.decisions.rate_meter import RateMeter
from currantspur.messages import Configuration, Route, make_rank_key

RanksByService = Mapping[str, tuple[int, ...]]


def rank_of(route: Route, team_priority: int | None) -> int:
    """Return the rank of a request: its team's priority, or its route's."""
    return route.priority if team_priority is None else team_priority


def list_ranks(configuration: Configuration) -> dict[str, tuple[int, ...]]:
    """Return the ranks that requests of each service can have, in order."""
    found: dict[str, set[int]] = {}
    priorities = {team.priority for team in configuration.teams}
    for route in configuration.routes:
        # Requests without a team have the rank of their route.
        has_teams = priorities and not route.allows_anonymous
        ranks = {route.priority}
        if has_teams:
            ranks = {rank_of(route, priority) for priority in priorities}
        for weighted in route.weighted_services:
            if weighted.weight > 0 or len(route.weighted_services) == 1:
                found.setdefault(weighted.service, set()).update(ranks)
    return {service: tuple(sorted(ranks)) for service, ranks in found.items()}


class RankDemand:
    """What requests ask for, of services whose requests differ in rank."""

    __slots__ = ('meter', 'ranks_by_service')

    def __init__(self, at: float) -> None:
        self.meter = RateMeter(at)
        self.ranks_by_service: RanksByService = {}

    def configure(self, configuration: Configuration) -> None:
        """Replace the ranks of all services; services with one are left out."""
        self.ranks_by_service = {
            service: ranks
            for service, ranks in list_ranks(configuration).items()
            if len(ranks) > 1
        }

    def count(self, service: str, rank: int, work_s: float) -> None:
        """Count a request, refused or not, by its expected work in seconds."""
        if service in self.ranks_by_service:
            self.meter.count(make_rank_key(service, rank), work_s)

    def measure_busy_slots(self, at: float) -> Mapping[str, float]:
        """Return smoothed busy slots by service and rank; measure anew."""
        self.meter.retain_only(
            {
                make_rank_key(service, rank)
                for service, ranks in self.ranks_by_service.items()
                for rank in ranks
            }
        )
        return self.meter.update_rates(at)
