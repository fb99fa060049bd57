"""Requests with escapes or dot segments in their path reach backends changed."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402,F403

PLAIN = ('/estado/7', '/estado/7/etiqueta?pagina=2', '/estado/a+b?x=a%20b')
# As common client libraries write them: parentheses, quotes and tildes escaped,
# hexadecimal digits in lower case, a trailing question mark.
ESCAPED = (
    '/estado/vi%c3%b1a?cepa=carm%c3%a9n%c3%a8re',
    '/estado/lote%28A%29?texto=%22gran%27reserva%22%28tinto%29',
    '/estado/%7Euna',
    '/estado/7?',
    '/estado/./7',
    '/estado/a/%2e%2e/7',
    '/estado/%2e%2e/interno/7',
)


async def case(fleet, record):
    config = {
        'routes': {
            'status': make_route('/estado/', 'estado-svc'),
            'filing': make_route('/presenta/', 'estado-svc', 'non_idempotent'),
        },
        'services': {'estado-svc': make_service()},
    }
    backends = [Backend(f'i-{number}', 'estado-svc', record) for number in range(2)]
    await fleet.open(entries=2, backends=backends, config=config)
    sent = {}
    for path in (*PLAIN, *(ESCAPED if TROUBLE else ())):
        for entry in fleet.entries:
            for method in ('GET', 'POST'):
                own_path = path if method == 'GET' else path.replace('/estado/', '/presenta/')
                request_id = new_id()
                sent[request_id] = (method, own_path)
                answer = await fetch(
                    entry.address, own_path, method=method, request_id=request_id,
                    body=b'label' if method == 'POST' else b'',
                )
                record(f'{entry.name}: {request_id} {method} {own_path} -> {answer}')
    changed = 0
    ran_count = 0
    for backend in backends:
        for request_id, method, path, _headers, _body in backend.ran:
            ran_count += 1
            if (method, path) != sent[request_id]:
                changed += 1
                record(f'{request_id}: sent {sent[request_id][1]}, run as {path}')
    record(f'{len(sent)} sent, {ran_count} run, {changed} of them with a changed path')
    if not ran_count:
        raise RuntimeError('nothing was run')
    return changed > 0


run(FOLDER, case)
