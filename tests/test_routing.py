import pytest

from currantspur.decisions.routing import RouteTable
from tests.routes import make_route

ROUTES = (
    make_route('short', host='a.example', path_prefix='/x/'),
    make_route('long', host='a.example', path_prefix='/x/y/'),
    make_route('other', host='b.example', path_prefix='/x/'),
    make_route('all', host='c.example', path_prefix='/'),
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
def test_match_returns_longest_prefix_of_host(host, path, name, order):
    found = RouteTable(ROUTES[::order]).match(host, path)
    assert getattr(found, 'name', None) == name
