import pytest

from currantspur.decisions.routing import RouteTable
from currantspur.messages import Part, Route


def make_route(name: str, host: str, prefix: str) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        parts=(Part(service='s', weight=1),),
        is_idempotent=True,
        timeout_s=1.0,
        goal_s=0.1,
        tries=1,
    )


ROUTES = (
    make_route('short', 'a.example', '/x/'),
    make_route('long', 'a.example', '/x/y/'),
    make_route('other', 'b.example', '/x/'),
    make_route('all', 'c.example', '/'),
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/x/1', 'short'),
        ('a.example', '/x/', 'short'),
        ('a.example', '/x/y/1', 'long'),
        ('a.example', '/x/y', 'short'),
        ('a.example', '/x/yy/', 'short'),
        ('a.example', '/x', None),
        ('a.example', '/xx/', None),
        ('a.example', '/z?next=/x/', None),
        ('a.example', '/x/?y=/x/y/', 'short'),
        ('A.Example', '/x/1', 'short'),
        ('a.example:8080', '/x/1', 'short'),
        ('b.example', '/x/y/', 'other'),
        ('c.example', '/x/y/', 'all'),
        ('d.example', '/x/', None),
        ('', '/x/', None),
    ],
)
@pytest.mark.parametrize('order', [1, -1])
def test_longest_prefix_of_the_host(host, path, name, order):
    found = RouteTable(ROUTES[::order]).match(host, path)
    assert getattr(found, 'name', None) == name
