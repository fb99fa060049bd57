import asyncio

import pytest

from currantspur.errors import TaskFailedError
from currantspur.messages import LookupQuery
from currantspur.tasks import Task
from tests.fleets import first, open_fleet


class Fragile(Task):
    def receive(self, envelopes):
        for envelope in envelopes:
            if envelope.message.region == 'bad':
                raise ZeroDivisionError
            envelope.set_reply(envelope.message.region)


@pytest.mark.parametrize(
    ('words', 'heard'),
    [
        (['good'], ['good']),
        (['bad', 'good'], [TaskFailedError, 'good']),
        (['bad', 'bad', 'good'], [TaskFailedError, TaskFailedError, 'good']),
    ],
)
async def test_a_failure_ends_only_its_batch(words, heard):
    task = Fragile()
    job = asyncio.create_task(task.run())
    found = []
    for word in words:
        try:
            found.append(
                await task.mailbox.ask(
                    LookupQuery(region=word, availability_zone='')
                )
            )
        except TaskFailedError as error:
            found.append(type(error))
    job.cancel()
    assert found == heard


async def test_the_rest_of_a_failed_batch_does_not_hang():
    task = Fragile()
    asked = [
        asyncio.create_task(
            task.mailbox.ask(LookupQuery(region=word, availability_zone=''))
        )
        for word in ('good', 'bad', 'late')
    ]
    await asyncio.sleep(0)
    job = asyncio.create_task(task.run())
    found = await asyncio.gather(*asked, return_exceptions=True)
    job.cancel()
    assert found[0] == 'good'
    assert {type(one) for one in found[1:]} == {TaskFailedError}


async def fail():
    raise ZeroDivisionError


async def test_a_daemon_notes_that_a_task_ended():
    async with open_fleet() as (fleet, _):
        daemon = first(fleet.daemons)
        assert not daemon.background_tasks.first_failure.done()
        daemon.background_tasks.start(fail())
        error = await asyncio.wait_for(daemon.background_tasks.first_failure, 5)
        assert isinstance(error, ZeroDivisionError)
