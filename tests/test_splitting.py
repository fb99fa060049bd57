from collections import Counter

import pytest

from currantspur.decisions.splitting import Splitter
from currantspur.messages import Route, WeightedService
from tests.routes import make_route


def make_split(**weights: float) -> Route:
    return make_route(
        weighted_services=tuple(
            WeightedService(service=name, weight=weight)
            for name, weight in weights.items()
        ),
    )


@pytest.mark.parametrize(
    ('weights', 'requests', 'max_error'),
    [
        ({'a': 1}, 7, 0),
        ({'a': 90, 'b': 10}, 10, 0),
        ({'a': 90, 'b': 10}, 25, 1),
        ({'a': 1, 'b': 1, 'c': 1}, 10, 1),
        ({'a': 70, 'b': 0, 'c': 30}, 50, 0),
        ({'a': 0.5, 'b': 0.25, 'c': 0.25}, 40, 0),
        ({'a': 0, 'b': 1}, 9, 0),
    ],
)
def test_each_service_gets_its_share_of_requests(weights, requests, max_error):
    splitter = Splitter()
    route = make_split(**weights)
    counts = Counter(splitter.pick(route) for _ in range(requests))
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(counts[name] - requests * weight / total) <= max_error


def test_changed_weights_apply_to_next_request():
    splitter = Splitter()
    for _ in range(11):
        splitter.pick(make_split(a=90, b=10))
    counts = Counter(splitter.pick(make_split(a=0, b=1)) for _ in range(9))
    assert counts == {'b': 9}
