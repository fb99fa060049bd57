"""Routes for tests: one service, everything else as asked."""

from currantspur.messages import Part, Route


def make_route(name: str = 'r', **more) -> Route:
    return Route(
        **{
            'name': name,
            'host': 'h',
            'prefix': f'/{name}/',
            'parts': (Part(service='s', weight=1),),
            'is_idempotent': True,
            'timeout_s': 2.0,
            'goal_s': 0.3,
            'tries': 2,
            **more,
        }
    )
