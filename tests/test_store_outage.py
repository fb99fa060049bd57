"""An instance, or the one it reads through, loses the store alone."""

import pytest

from currantspur.decisions.store_outage import (
    MIN_OUTAGE_S,
    StoreOutage,
)
from currantspur.messages.table_updates import NEVER

SHORT_S, LONG_S = MIN_OUTAGE_S - 0.1, MIN_OUTAGE_S


@pytest.mark.parametrize(
    ('events', 'ended_at'),
    [
        ([], NEVER),
        ([('end', 4.0)], 4.0),
        ([('change', 1.0), ('end', 1.0 + LONG_S)], 1.0 + LONG_S),
        # Rows that changed meanwhile came from a store that was there.
        ([('change', 1.0), ('end', 1.0 + SHORT_S)], NEVER),
        # A source tells of an end before the last change.
        ([('change', 9.0), ('end', 8.0)], NEVER),
        # Two sources find the same outage over, one after the other.
        (
            [('change', 1.0), ('end', 9.0), ('change', 9.1), ('end', 9.6)],
            9.0,
        ),
        ([('change', 1.0), ('end', 9.0), ('end', 5.0)], 9.0),
    ],
)
def test_outage_counts_only_without_changes(events, ended_at):
    outage = StoreOutage()
    for kind, at in events:
        (outage.record_end if kind == 'end' else outage.record_change)(at)
    assert outage.ended_at == ended_at
