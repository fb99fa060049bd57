"""A spoiled head lacks the proof, and its client gets a success."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402,F403

# Half of the backends spoil a few of their answers for 6 s.
SPOILED_SHARE = 0.05
SPOIL_S = 6
AFTER_S = 1
CALLERS = 12
PROOF = b'X-Server-Stamp'


class SpoilingBackend(Backend):
    """A backend that writes wrong bytes into the heads of some answers."""

    is_spoiling = False

    async def answer(self, request_id, writer):
        head = self.head(200, request_id, len(self.body))
        if self.is_spoiling and random.random() < SPOILED_SHARE:
            at = head.index(PROOF) + random.randrange(len(PROOF))
            head = head[:at] + b'#' + head[at + 1 :]
            self.record(f'{self.name} spoils its answer to {request_id}: {head!r}')
        writer.write(head + self.body)
        return True


async def case(fleet, record):
    config = {
        'routes': {
            'status': make_route('/estado/', 'estado-svc'),
            'filing': make_route('/presenta/', 'estado-svc', 'non_idempotent'),
        },
        'services': {'estado-svc': make_service()},
    }
    spoiling = [SpoilingBackend(f'i-{n}', 'estado-svc', record, slots=16) for n in range(2)]
    sound = [Backend(f'i-{n}', 'estado-svc', record, slots=16) for n in (2, 3)]
    await fleet.open(entries=2, backends=spoiling + sound, config=config)
    await asyncio.sleep(BOUNDS['contact_s'] + 0.5)
    for backend in spoiling:
        backend.is_spoiling = TROUBLE
    ends_at = time.monotonic() + SPOIL_S + AFTER_S
    counts = {'answered': 0, 'without proof': 0}

    async def call(entry, method, path):
        while time.monotonic() < ends_at:
            request_id = new_id()
            answer = await fetch(
                entry.address, path, method=method, request_id=request_id,
                body=b'label' if method == 'POST' else b'',
            )
            record(f'{entry.name}: {request_id} {method} -> {answer}')
            counts['answered'] += 1
            if 200 <= answer.status < 300 and answer.stamp is None:
                counts['without proof'] += 1
                record(f'{request_id}: a success without X-Server-Stamp: {answer.headers}')

    tasks = [
        asyncio.ensure_future(
            call(fleet.entries[n % 2], *(('GET', '/estado/7'), ('POST', '/presenta/7'))[n // 2 % 2])
        )
        for n in range(CALLERS)
    ]
    await asyncio.sleep(SPOIL_S)
    for backend in spoiling:
        backend.is_spoiling = False
    await asyncio.gather(*tasks)
    record(str(counts))
    if counts['answered'] < 100:
        raise RuntimeError('too few requests were answered')
    return counts['without proof'] > 0


run(FOLDER, case)
