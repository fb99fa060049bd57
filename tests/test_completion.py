import asyncio
from contextlib import aclosing

import pytest

from currantspur.errors import MailboxFullError, TargetError
from currantspur.messages import AnswerChunk
from currantspur.tasks.completion import Completion

CHUNK = AnswerChunk(body=b'x')
COUNT = 5


class Parts:
    def __init__(self, error=None):
        self.error = error
        self.given = 0
        self.is_closed = False

    async def run(self):
        try:
            for _ in range(COUNT):
                await asyncio.sleep(0)
                self.given += 1
                yield CHUNK
            if self.error is not None:
                raise self.error
        finally:
            self.is_closed = True


@pytest.mark.parametrize(
    'error',
    [None, TargetError('cut', sent=True), MailboxFullError('full')],
)
async def test_endings_come_through(error):
    parts = Parts(error)
    seen = []
    raised = None
    try:
        async for part in Completion().run(parts.run(), lambda: True):
            seen.append(part)
    except (TargetError, MailboxFullError) as caught:
        raised = caught
    assert len(seen) == COUNT
    assert raised is error
    assert parts.is_closed


@pytest.mark.parametrize(
    ('goes_on', 'seen'), [(True, 1), (False, 1), (True, 3), (False, 3)]
)
async def test_what_happens_when_a_caller_leaves(goes_on, seen):
    parts = Parts()
    completion = Completion()
    running = completion.run(parts.run(), lambda: goes_on)
    async with aclosing(running) as whole:
        for _ in range(seen):
            await anext(whole)
    while completion.jobs:
        await asyncio.sleep(0)
    assert parts.is_closed
    assert (parts.given == COUNT) is goes_on


async def test_a_cut_ends_everything():
    parts = Parts()
    completion = Completion()
    running = completion.run(parts.run(), lambda: True)
    async with aclosing(running) as whole:
        await anext(whole)
    completion.cut()
    while completion.jobs:
        await asyncio.sleep(0)
    assert parts.is_closed
    assert parts.given < COUNT
