"""The store gives no answer for two seconds, just after it acked a config.

Once it has been sound for contact_s again, the next config moves a route to
another service and withdraws a key.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    HAS_TROUBLE,
    Clients,
    config,
    route,
    run_case,
    service,
    tenant,
)

ZONES = ('north-1', 'north-2', 'south-1')
BACKENDS = (
    ('old-1', 'old-svc', 'north-1'),
    ('old-2', 'old-svc', 'south-1'),
    ('new-1', 'new-svc', 'north-1'),
    ('new-2', 'new-svc', 'south-1'),
)
SERVICES = (service('old-svc'), service('new-svc'))
# The largest dose of the site is 4.5 s (platform_down, silent).
SILENCE_S = 2.0
# Less than the pause of a follower after a change.
SILENT_AFTER_S = 0.1
# Of the check: until after the longest call of a follower has ended.
WATCH_S = 7.0
PACE_S = 0.2


async def run(record, fleet):
    store = fleet.store
    both = (tenant('one', 'key-one'), tenant('two', 'key-two'))
    first = config(1, route('r', '/r/', 'old-svc'), *both, *SERVICES)
    await fleet.start(BACKENDS, ZONES, first)
    clients = Clients(record)
    await asyncio.sleep(6)
    store.put(
        'op',
        'config',
        config(
            4,
            route('r', '/r/', 'old-svc'),
            route('added', '/added/', 'old-svc'),
            *both,
            *SERVICES,
        ),
    )
    record.note('ack of config 4')
    await asyncio.sleep(SILENT_AFTER_S)
    store.is_silent = HAS_TROUBLE
    record.note(f'the store is silent: {store.is_silent}')
    await asyncio.sleep(SILENCE_S)
    store.is_silent = False
    record.note(f'the store answers; {store.lost_answers} calls got no answer')
    await asyncio.sleep(BOUNDS['contact_s'] + 0.2)
    statuses = [
        (await clients.send(each, '/added/x', 'key-one'))[1]
        for each in fleet.instances
    ]
    if statuses != [200] * len(ZONES):
        record.note('config 4 is not in force everywhere')
    store.put(
        'op',
        'config',
        config(
            9,
            route('r', '/r/', 'new-svc'),
            tenant('one', 'key-one'),
            tenant('two'),
            *SERVICES,
        ),
    )
    acked_at = record.now()
    record.note('ack of config 9: /r/ moves to new-svc, key-two is withdrawn')
    sending = []
    while record.now() < acked_at + WATCH_S:
        for instance in fleet.instances:
            for key in ('key-one', 'key-two'):
                sending.append(
                    asyncio.create_task(clients.send(instance, '/r/x', key))
                )
        await asyncio.sleep(PACE_S)
    await asyncio.gather(*sending)
    bound = acked_at + BOUNDS['config_apply_s']
    old_service, dropped_key = [], []
    for backend in fleet.backends:
        for _at, request, _tenant in backend.runs:
            sent_at, instance, key = clients.sent[request]
            if sent_at <= bound:
                continue
            late = (round(sent_at - acked_at, 2), request, instance)
            if backend.service == 'old-svc':
                old_service.append(late)
            if key == 'key-two':
                dropped_key.append(late)
    for what, late in (
        ('by the old service', old_service),
        ('with the dropped key', dropped_key),
    ):
        late.sort()
        record.note(
            f'run {what}, sent later than config_apply_s after the ack: '
            f'{len(late)}; first {late[:1]}, last {late[-1:]}'
        )
    return bool(old_service or dropped_key)


run_case(run, FOLDER)
