"""Split the requests of a route between services by weight."""

from currantspur.messages import Route, WeightedService


class Splitter:
    """Pick services by smooth weighted round robin.

    Each service gets its share of any short run of requests, too.
    """

    __slots__ = ('credits',)

    def __init__(self) -> None:
        # The credit of each service, by the name of the route.
        self.credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credit = self.credits.setdefault(route.name, {})
        total_weight = sum(each.weight for each in route.weighted_services)
        for each in route.weighted_services:
            increased = credit.get(each.service, 0.0) + each.weight
            credit[each.service] = increased
        picked = max(
            route.weighted_services, key=lambda each: _rank(each, credit)
        )
        credit[picked.service] -= total_weight
        return picked.service


def _rank(
    weighted_service: WeightedService, credit: dict[str, float]
) -> tuple[float, str]:
    # A service of weight 0 gets no requests, even if all credits are equal.
    own_credit = (
        credit[weighted_service.service]
        if weighted_service.weight > 0
        else float('-inf')
    )
    return own_credit, weighted_service.service
