"""Find the route of a request by its host and path."""

from collections.abc import Iterable

from currantspur.messages import Route


class RouteTable:
    """Routes by host, ordered from the longest path prefix to the shortest."""

    __slots__ = ('by_host',)

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self.by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix.

        Port, letter case of the host and query are ignored. Return None if no
        route matches.
        """
        bare_path = path.partition('?')[0]
        for route in self.by_host.get(_strip_port(host), ()):
            if bare_path.startswith(route.path_prefix):
                return route
        return None

    def has_host(self, host: str) -> bool:
        """Tell whether any route has the host."""
        return _strip_port(host) in self.by_host


def _strip_port(host: str) -> str:
    return host.lower().partition(':')[0]


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
