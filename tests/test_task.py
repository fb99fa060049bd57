import asyncio

import pytest
from loguru import logger

from currantspur.errors import TaskFailedError
from currantspur.messages import LookupQuery
from currantspur.tasks import Task
from tests.fleets import first_value, open_fleet


class FailingTask(Task):
    """Reply with the region of each look-up; raise if it is 'bad'."""

    def receive(self, envelopes):
        for envelope in envelopes:
            if envelope.message.region == 'bad':
                raise ZeroDivisionError
            envelope.set_reply(envelope.message.region)


@pytest.mark.parametrize(
    ('regions', 'expected'),
    [
        (['good'], ['good']),
        (['bad', 'good'], [TaskFailedError, 'good']),
        (['bad', 'bad', 'good'], [TaskFailedError, TaskFailedError, 'good']),
    ],
)
async def test_exception_fails_only_its_batch(regions, expected):
    task = FailingTask()
    runner = asyncio.create_task(task.run())
    replies = []
    for region in regions:
        try:
            replies.append(
                await task.mailbox.ask(
                    LookupQuery(region=region, availability_zone='')
                )
            )
        except TaskFailedError as error:
            replies.append(type(error))
    runner.cancel()
    assert replies == expected


async def test_exception_fails_requests_left_in_batch():
    task = FailingTask()
    requests = [
        asyncio.create_task(
            task.mailbox.ask(LookupQuery(region=region, availability_zone=''))
        )
        for region in ('good', 'bad', 'late')
    ]
    await asyncio.sleep(0)
    runner = asyncio.create_task(task.run())
    replies = await asyncio.gather(*requests, return_exceptions=True)
    runner.cancel()
    assert replies[0] == 'good'
    assert {type(reply) for reply in replies[1:]} == {TaskFailedError}


# Guards against a log flooded by one error: it was logged for each message of
# its batch.
async def test_error_of_a_batch_is_logged_once():
    task = FailingTask()
    requests = [
        asyncio.create_task(
            task.mailbox.ask(LookupQuery(region='bad', availability_zone=''))
        )
        for _ in range(3)
    ]
    lines = []
    sink = logger.add(lines.append, level='ERROR')
    await asyncio.sleep(0)
    runner = asyncio.create_task(task.run())
    await asyncio.gather(*requests, return_exceptions=True)
    runner.cancel()
    logger.remove(sink)
    assert len(lines) == 1


async def fail():
    raise ZeroDivisionError


async def test_daemon_records_first_background_failure():
    async with open_fleet() as (fleet, _):
        daemon = first_value(fleet.daemons)
        assert not daemon.background_tasks.first_failure.done()
        daemon.background_tasks.start(fail())
        error = await asyncio.wait_for(daemon.background_tasks.first_failure, 5)
        assert isinstance(error, ZeroDivisionError)
