import asyncio
import os
from collections import Counter

import orjson
import pytest

from currantspur.tasks import Journal
from currantspur.tasks.journal import (
    MAX_FAILURES_PER_WINDOW,
    MAX_SUCCESSES_PER_WINDOW,
)
from currantspur.wire.logs import (
    MAX_BUFFERED_LINES,
    JsonLineSink,
    NonBlockingOutput,
    configure_logging,
)
from currantspur.wire.metrics import Metrics
from tests.virtual import VirtualClock


class RecordingSink:
    def __init__(self):
        self.lines = []
        self.counted = Counter()

    def write(self, kind, fields):
        self.lines.append((kind, fields))

    def count_outcome(self, kind, outcome):
        self.counted[kind, outcome] += 1


@pytest.mark.parametrize(
    ('failures', 'successes', 'kept'),
    [
        (3, 1, 4),
        (500, 0, MAX_FAILURES_PER_WINDOW),
        (0, 500, MAX_SUCCESSES_PER_WINDOW),
        (500, 500, MAX_FAILURES_PER_WINDOW + MAX_SUCCESSES_PER_WINDOW),
    ],
)
def test_line_rate_is_limited_and_excess_reported(failures, successes, kept):
    clock, sink = VirtualClock(), RecordingSink()
    journal = Journal(sink=sink, clock=clock)
    # Successes come first: they must not use up the limit of failures.
    for _ in range(successes):
        journal.note_success('exchange')
    for _ in range(failures):
        journal.note_failure('refused')
    assert len(sink.lines) == kept
    assert sink.counted.total() == failures + successes
    clock.at = 1.0
    journal.note_failure('refused')
    omitted = [fields for kind, fields in sink.lines if kind == 'omitted']
    omitted_count = failures + successes - kept
    reported = (
        [{'lines': omitted_count}] if failures > MAX_FAILURES_PER_WINDOW else []
    )
    assert omitted == reported


async def test_stalled_reader_does_not_block_writes():
    read_end, write_end = os.pipe()
    metrics = Metrics()
    configure_logging(NonBlockingOutput(write_end, metrics))
    sink = JsonLineSink(
        instance='entry-1', clock=VirtualClock(), metrics=metrics
    )
    started_at = asyncio.get_running_loop().time()
    for number in range(MAX_BUFFERED_LINES * 3):
        sink.write('refused', {'request': f'{number:040}'})
    assert asyncio.get_running_loop().time() - started_at < 5
    assert metrics.lines_lost._value.get() > 0
    # When the reader continues, it gets whole lines in order.
    os.set_blocking(read_end, False)
    output = bytearray()
    while not output.endswith(b'}\n') or len(output) < 100_000:
        await asyncio.sleep(0.01)
        output += os.read(read_end, 65536)
    numbers = [
        int(orjson.loads(line)['request']) for line in output.splitlines()
    ]
    assert numbers == sorted(numbers)
    asyncio.get_running_loop().remove_writer(write_end)
    os.close(read_end)
    os.close(write_end)
