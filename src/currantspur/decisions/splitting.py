"""Share the requests of a route between services by weight."""

from currantspur.messages import Route, WeightedService


class Splitter:
    """Pick services so that each has its share of any few requests."""

    __slots__ = ('credits',)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credit = self.credits.setdefault(route.name, {})
        total = sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            earned = credit.get(part.service, 0.0) + part.weight
            credit[part.service] = earned
        richest = max(
            route.weighted_services, key=lambda part: _rank(part, credit)
        )
        credit[richest.service] -= total
        return richest.service


def _rank(part: WeightedService, credit: dict[str, float]) -> tuple[float, str]:
    # A part of weight 0 gets nothing, also when all credits are equal.
    level = credit[part.service] if part.weight > 0 else float('-inf')
    return level, part.service
