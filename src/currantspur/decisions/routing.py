"""Find the route of a path."""

from collections.abc import Iterable

from currantspur.messages import Route


class RouteTable:
    """Match paths to the longest route prefix."""

    __slots__ = ('routes',)

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = {route.prefix.rstrip('/'): route for route in routes}

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of whole segments."""
        prefix = path.split('?', 1)[0].rstrip('/')
        while prefix:
            route = self.routes.get(prefix)
            if route is not None:
                return route
            prefix = prefix.rpartition('/')[0]
        return self.routes.get('')
