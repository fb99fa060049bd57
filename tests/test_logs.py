import asyncio
import os
from collections import Counter

import orjson
import pytest

from currantspur.tasks import Journal
from currantspur.tasks.journal import FAILURES_PER_S, SUCCESSES_PER_S
from currantspur.wire.logs import (
    MAX_BUFFERED_LINES,
    JsonLineSink,
    NonBlockingOutput,
    open_log,
)
from currantspur.wire.metrics import Metrics
from tests.virtual import VirtualClock


class Lines:
    def __init__(self):
        self.kinds = []
        self.counted = Counter()

    def write(self, kind, fields):
        self.kinds.append((kind, fields))

    def count(self, kind, outcome):
        self.counted[kind, outcome] += 1


@pytest.mark.parametrize(
    ('failures', 'successes', 'kept'),
    [
        (3, 1, 4),
        (500, 0, FAILURES_PER_S),
        (0, 500, SUCCESSES_PER_S),
        (500, 500, FAILURES_PER_S + SUCCESSES_PER_S),
    ],
)
def test_a_flood_is_bounded(failures, successes, kept):
    clock, sink = VirtualClock(), Lines()
    journal = Journal(sink=sink, clock=clock)
    # Successes come first: they must not take the room of failures.
    for _ in range(successes):
        journal.note_success('exchange')
    for _ in range(failures):
        journal.note_failure('refused')
    assert len(sink.kinds) == kept
    assert sink.counted.total() == failures + successes
    clock.at = 1.0
    journal.note_failure('refused')
    omitted = [fields for kind, fields in sink.kinds if kind == 'omitted']
    expected = failures + successes - kept
    told = [{'lines': expected}] if failures > FAILURES_PER_S else []
    assert omitted == told


async def test_a_reader_that_stops_holds_nobody_up():
    reading, writing = os.pipe()
    metrics = Metrics()
    open_log(NonBlockingOutput(writing, metrics))
    lines = JsonLineSink(
        instance='entry-1', clock=VirtualClock(), metrics=metrics
    )
    began = asyncio.get_running_loop().time()
    for number in range(MAX_BUFFERED_LINES * 3):
        lines.write('refused', {'request': f'{number:040}'})
    assert asyncio.get_running_loop().time() - began < 5
    assert metrics.lines_lost._value.get() > 0
    # Once the reader goes on, whole lines come, in order.
    os.set_blocking(reading, False)
    found = bytearray()
    while not found.endswith(b'}\n') or len(found) < 100_000:
        await asyncio.sleep(0.01)
        found += os.read(reading, 65536)
    numbers = [
        int(orjson.loads(line)['request']) for line in found.splitlines()
    ]
    assert numbers == sorted(numbers)
    asyncio.get_running_loop().remove_writer(writing)
    os.close(reading)
    os.close(writing)
