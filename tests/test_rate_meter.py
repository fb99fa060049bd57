import pytest

from currantspur.decisions.rate_meter import RateMeter


@pytest.mark.parametrize(
    ('amounts_by_second', 'rates'),
    [
        ([{}], {}),
        # The first measurement is taken as it is.
        ([{'a': 4.0}], {'a': 4.0}),
        # Without new amounts, the rate decays.
        ([{'a': 4.0}, {}], {'a': 2.0}),
        ([{'a': 4.0}, {}, {}], {'a': 1.0}),
        ([{'a': 4.0}, {'a': 2.0, 'b': 2.0}], {'a': 3.0, 'b': 2.0}),
        ([{}, {'a': 4.0}, {'a': 8.0}], {'a': 6.0}),
    ],
)
def test_rates_are_smoothed_over_measurements(amounts_by_second, rates):
    meter = RateMeter(0.0)
    measured = {}
    for second, amounts in enumerate(amounts_by_second):
        for name, amount in amounts.items():
            meter.count(name, amount)
        measured = meter.update_rates(second + 1.0)
    assert measured == rates
