"""Find the route of a request."""

from collections.abc import Iterable

from currantspur.messages import Route


class RouteTable:
    """Match a host and a path to the longest prefix."""

    __slots__ = ('by_host',)

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self.by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        bare_host = host.lower().partition(':')[0]
        bare_path = path.partition('?')[0]
        for route in self.by_host.get(bare_host, ()):
            if bare_path.startswith(route.path_prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
