"""All keys of all tenants are taken away; requests with any key run."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402,F403

# The one key of each tenant; both are taken away, one after the other.
KEYS = {'bodega-uno': 'key-of-uno', 'bodega-dos': 'key-of-dos'}
REVOKE_GAP_S = 0.5
ROUNDS = 10


def describe_tenants(revoked):
    return {
        name: {
            'api_keys': [] if name in revoked else [key],
            'rate_per_s': 100,
            'burst': 50,
        }
        for name, key in KEYS.items()
    }


async def case(fleet, record):
    config = {
        'routes': {
            'status': make_route('/estado/', 'estado-svc'),
            'filing': make_route('/presenta/', 'presenta-svc', 'non_idempotent'),
        },
        'services': {'estado-svc': make_service(), 'presenta-svc': make_service()},
        'tenants': describe_tenants(()),
    }
    backends = [
        Backend(f'i-{service[:4]}-{number}', service, record)
        for service in config['services']
        for number in range(2)
    ]
    await fleet.open(entries=2, backends=backends, config=config)
    allowed = set()
    for entry in fleet.entries:
        for key in KEYS.values():
            allowed.add(await ask(entry, record, key, 'status'))
    revoked = []
    for name in KEYS if TROUBLE else ():
        revoked.append(name)
        fleet.configure(**{**config, 'tenants': describe_tenants(revoked)})
        await asyncio.sleep(REVOKE_GAP_S)
    # By then all instances are in touch, and the last version is in force.
    await asyncio.sleep(BOUNDS['contact_s'] + BOUNDS['config_apply_s'])
    unknown, withdrawn = set(), set()
    for number in range(ROUNDS):
        for entry in fleet.entries:
            for kind in ('status', 'filing'):
                unknown.add(await ask(entry, record, f'never-held-{number}', kind))
            for name in revoked:
                withdrawn.add(await ask(entry, record, KEYS[name], 'status'))
    ran = {request_id for backend in backends for request_id, *_ in backend.ran}
    if not allowed <= ran:
        raise RuntimeError('requests with keys of the first config did not run')
    record(f'with a key that no config held: {len(unknown)} sent, {len(unknown & ran)} run')
    record(f'with a withdrawn key: {len(withdrawn)} sent, {len(withdrawn & ran)} run')
    return bool(unknown & ran)


async def ask(entry, record, key, kind):
    """Send a request with a key; return its id."""
    request_id = new_id()
    method, path = ('POST', '/presenta/7') if kind == 'filing' else ('GET', '/estado/7')
    answer = await fetch(
        entry.address, path, method=method, key=key, request_id=request_id,
        body=b'label' if kind == 'filing' else b'',
    )
    record(f'{entry.name}: {request_id} {method} {path} key {key} -> {answer}')
    return request_id


run(FOLDER, case)
