"""Build routes of one service with defaults for all fields."""

from currantspur.messages import Route, WeightedService


def make_route(name: str = 'r', **overrides) -> Route:
    return Route(
        **{
            'name': name,
            'host': 'h',
            'path_prefix': f'/{name}/',
            'weighted_services': (WeightedService(service='s', weight=1),),
            'is_idempotent': True,
            'timeout_s': 2.0,
            'latency_goal_s': 0.3,
            'max_attempts': 2,
            **overrides,
        }
    )
