"""Two instances are cut off from the store, and the others miss a change."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402,F403

# The 8 machines of ec-filings and its 6 spare ones, here in one region.
INSTANCES = 14
SETTLE_S = 10
MEASURE_S = 4
# An instance that follows the store calls it about once a second.
MIN_CALLS = 3
CUT_S = 8
CHANGE_AFTER_S = 0.5
WATCHED_S = 4
KEYS = {'bodega-uno': 'key-of-uno', 'bodega-dos': 'key-of-dos'}


def describe(service, keys):
    return {
        'routes': {'status': make_route('/estado/', service)},
        'services': {'estado-svc': make_service(), 'texto-svc': make_service()},
        'tenants': {
            name: {'api_keys': [key] if name in keys else [], 'rate_per_s': 0, 'burst': 0}
            for name, key in KEYS.items()
        },
    }


async def case(fleet, record):
    backends = [
        Backend(f'i-{service[:5]}-{n}', service, record, work_s=0.02, slots=16)
        for service in ('estado-svc', 'texto-svc')
        for n in range(4)
    ]
    await fleet.open(
        entries=INSTANCES, backends=backends, config=describe('estado-svc', KEYS),
        has_links=True,
    )
    await asyncio.sleep(SETTLE_S)
    for link in fleet.links:
        link.calls = 0
    await asyncio.sleep(MEASURE_S)
    readers = [n for n, link in enumerate(fleet.links) if link.calls >= MIN_CALLS]
    record(f'calls of the instances to the store: {[link.calls for link in fleet.links]}')
    if len(readers) != 2:
        raise RuntimeError(f'{len(readers)} instances read the store, not 2')
    if TROUBLE:
        for n in readers:
            fleet.links[n].cut()
            record(f'{fleet.entries[n].name} is cut off from the store')
    cut_at = time.monotonic()
    await asyncio.sleep(CHANGE_AFTER_S)
    fleet.configure(**describe('texto-svc', ('bodega-uno',)))
    acknowledged_at = time.monotonic()
    sent = {}

    async def watch(n, ends_at):
        entry = fleet.entries[n]
        while time.monotonic() < ends_at:
            for key in KEYS.values():
                request_id = new_id()
                sent[request_id] = (time.monotonic() - acknowledged_at, n, key)
                answer = await fetch(
                    entry.address, '/estado/7', key=key, request_id=request_id
                )
                record(f'{entry.name}: {request_id} GET /estado/7 {key} -> {answer}')
            await asyncio.sleep(0.3)

    others = [n for n in range(INSTANCES) if n not in readers]
    await asyncio.gather(*(watch(n, cut_at + CUT_S) for n in others))
    for link in fleet.links:
        link.heal()
    record('the cut has healed')
    await asyncio.gather(*(watch(n, time.monotonic() + WATCHED_S) for n in others))

    late = {'old service': 0, 'withdrawn key': 0}
    stale = set()
    last_s = 0.0
    for backend in backends:
        for request_id, *_ in backend.ran:
            after_s, n, key = sent[request_id]
            is_old = backend.service == 'estado-svc'
            is_withdrawn = key == KEYS['bodega-dos']
            if after_s > BOUNDS['config_apply_s'] and (is_old or is_withdrawn):
                late['old service'] += is_old
                late['withdrawn key'] += is_withdrawn
                stale.add(fleet.entries[n].name)
                last_s = max(last_s, after_s)
    record(f'run as only the older version allows, later than config_apply_s: {late}')
    record(f'by {len(stale)} instances in touch, until {last_s:.1f} s after the ack')
    return bool(stale)


run(FOLDER, case)
