import pytest

from currantspur.decisions.demand import RateMeter


@pytest.mark.parametrize(
    ('counted', 'rates'),
    [
        ([{}], {}),
        ([{'a': 4.0}], {'a': 2.0}),
        # What is asked no more fades.
        ([{'a': 4.0}, {}], {'a': 1.0}),
        ([{'a': 4.0}, {'a': 4.0, 'b': 2.0}], {'a': 3.0, 'b': 1.0}),
    ],
)
def test_rates_follow_what_is_counted(counted, rates):
    meter = RateMeter(0.0)
    measured = {}
    for second, amounts in enumerate(counted):
        for name, amount in amounts.items():
            meter.count(name, amount)
        measured = meter.update_rates(second + 1.0)
    assert measured == rates
