"""A backend's answer with a control byte in its head costs answers of others."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402,F403

# Half of the backends of one service spoil a few of their answers for 5 s.
SPOILED_SHARE = 0.03
SPOIL_S = 5
AFTER_S = 2
CONNECTIONS = 8
PIPELINED = 6
MOST_LOST = 3
CONTROL_BYTES = bytes(byte for byte in range(1, 32) if byte not in b'\t\n\r')


class SpoilingBackend(Backend):
    """A backend that writes a control byte into the heads of some answers."""

    is_spoiling = False

    async def answer(self, request_id, writer):
        head = self.head(200, request_id, len(self.body))
        if self.is_spoiling and random.random() < SPOILED_SHARE:
            at = head.index(b'X-Server-Stamp: ') + len(b'X-Server-Stamp: ') + 3
            head = head[:at] + bytes((random.choice(CONTROL_BYTES),)) + head[at + 1 :]
            self.record(f'{self.name} spoils its answer to {request_id}')
        writer.write(head + self.body)
        return True


class Caller:
    """A client that sends idempotent requests before earlier ones are answered."""

    def __init__(self, entry, record):
        self.entry = entry
        self.record = record
        self.answered = set()
        self.unanswered = set()

    async def run(self, ends_at):
        client = None
        while time.monotonic() < ends_at:
            if client is None:
                client = Client(self.entry.address)
                await client.open()
            sent = []
            try:
                for number in range(PIPELINED):
                    path = ('/estado/', '/texto/')[number % 2] + str(number)
                    sent.append(new_id())
                    await client.send(path, request_id=sent[-1])
                for request_id in tuple(sent):
                    answer = await asyncio.wait_for(client.read(), 6)
                    self.record(f'{self.entry.name}: {request_id} -> {answer}')
                    self.answered.add(request_id)
                    sent.remove(request_id)
            except (OSError, EOFError, asyncio.IncompleteReadError):
                self.record(f'{self.entry.name} closes the connection before {sent}')
                self.unanswered.update(sent)
                client.close()
                client = None
        if client is not None:
            client.close()


async def case(fleet, record):
    config = {
        'routes': {
            'status': make_route('/estado/', 'estado-svc'),
            'wording': make_route('/texto/', 'texto-svc'),
        },
        'services': {'estado-svc': make_service(), 'texto-svc': make_service()},
    }
    spoiling = [SpoilingBackend(f'i-estado-{n}', 'estado-svc', record, slots=16) for n in range(2)]
    sound = [Backend(f'i-estado-{n}', 'estado-svc', record, slots=16) for n in (2, 3)]
    sound += [
        Backend(f'i-texto-{n}', 'texto-svc', record, work_s=0.2, slots=24) for n in range(2)
    ]
    await fleet.open(entries=2, backends=spoiling + sound, config=config)
    # From now on both instances are in touch.
    await asyncio.sleep(BOUNDS['contact_s'] + 0.5)
    for backend in spoiling:
        backend.is_spoiling = TROUBLE
    ends_at = time.monotonic() + SPOIL_S + AFTER_S
    callers = [Caller(fleet.entries[n % 2], record) for n in range(CONNECTIONS)]
    tasks = [asyncio.ensure_future(caller.run(ends_at)) for caller in callers]
    await asyncio.sleep(SPOIL_S)
    for backend in spoiling:
        backend.is_spoiling = False
    await asyncio.gather(*tasks)
    passed_on = {request_id for backend in sound for request_id, *_ in backend.ran}
    answered = set().union(*(caller.answered for caller in callers))
    unanswered = set().union(*(caller.unanswered for caller in callers))
    lost = unanswered & passed_on
    for entry in fleet.entries:
        if entry.has_ended():
            raise RuntimeError(f'{entry.name} ended')
    record(f'{len(answered)} answered, {len(unanswered)} not answered')
    record(f'{len(lost)} of these were passed on to a sound backend; {MOST_LOST} are allowed')
    if len(answered) < 100:
        raise RuntimeError('too few requests were answered')
    return len(lost) > MOST_LOST


run(FOLDER, case)
