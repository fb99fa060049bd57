"""A client sends GET requests with bodies, some before the answer to the first.

Without the trouble it sends the same requests one after the other.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402
from standins_2 import (  # noqa: E402
    HAS_TROUBLE,
    HOST,
    Backend,
    config,
    read_message,
    route,
    run_case,
    service,
    tenant,
)

KEYS = {'one': 'key-one', 'two': 'key-two'}
SLOW_S = 0.8
ROUNDS = 4


class StrictBackend(Backend):
    """A backend of one slot that keeps the bodies that it reads.

    While the slot is taken it rejects a request as soon as it has the head,
    keeps the connection and reads the rest of the body afterwards. Empty lines
    before a request are skipped (RFC 9112, 2.2).
    """

    def __init__(self, *options):
        super().__init__(*options)
        self.slots = 1
        # Request id, tenant, path and body of what was run.
        self.ran = []
        # Request id and body of what was rejected early.
        self.rejected = []

    async def serve(self, reader, writer):
        while head := await self.read_head(reader):
            start, headers = head
            request = headers.get('x-request-id', '')
            if headers.get('x-expect-instance', self.name) != self.name:
                self.answer(writer, 421, request, b'', 'X-Not-Executed: 1\r\n')
                await self.read_body(reader, headers)
                continue
            if self.running >= self.slots:
                self.answer(writer, 503, request, b'', 'X-Not-Executed: 1\r\n')
                self.record.note(f'{self.name} rejects {request}')
                await self.read_rejected(reader, headers, request)
                continue
            self.running += 1
            try:
                body = await self.read_body(reader, headers)
                method, path, _ = start.split(' ')
                tenant_name = headers.get('x-tenant-name', '')
                self.ran.append((request, tenant_name, method, path, body))
                self.record.note(
                    f'{self.name} runs {request} {method} {path}'
                    f' of {tenant_name} with the body {body[:80]!r}'
                )
                await asyncio.sleep(SLOW_S if 'slow' in path else 0.02)
            finally:
                self.running -= 1
            self.answer(writer, 200, request, b'bytes')
            await writer.drain()

    async def read_head(self, reader):
        try:
            line = await reader.readline()
            while line == b'\r\n':
                line = await reader.readline()
            lines = [line]
            while line not in {b'\r\n', b''}:
                line = await reader.readline()
                lines.append(line)
        except ValueError:
            return None
        start = lines[0].decode('latin-1').strip()
        if start.count(' ') != 2 or not start.endswith('HTTP/1.1'):
            if start:
                self.record.note(f'{self.name} closes: no request: {start!r}')
            return None
        headers = {}
        for each in lines[1:]:
            name, _, text = each.decode('latin-1').partition(':')
            headers[name.strip().lower()] = text.strip()
        return start, headers

    async def read_rejected(self, reader, headers, request):
        try:
            body = await self.read_body(reader, headers)
        except asyncio.IncompleteReadError as error:
            body = error.partial
            raise
        finally:
            self.rejected.append((request, body))
            self.record.note(
                f'{self.name} read as the body of {request}: {body[:80]!r}'
            )

    async def read_body(self, reader, headers):
        body = b''
        if 'chunked' in headers.get('transfer-encoding', ''):
            while size := int((await reader.readline()).split(b';')[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        return body


class Client:
    """A caller of one tenant; `sent` has what it sent, by request id."""

    def __init__(self, record, instance, sent, tenant_name):
        self.record = record
        self.instance = instance
        self.sent = sent
        self.tenant = tenant_name
        self.reader = self.writer = None

    async def open(self):
        host, _, port = self.instance.frontend.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    def make(self, request, method, path, body=b'', *, is_chunked=False):
        self.sent[request] = (self.tenant, method, path, body)
        self.record.note(
            f'{self.tenant} sends {request} {method} {path}'
            f' with a body of {len(body)} bytes'
        )
        framing = f'Content-Length: {len(body)}\r\n' if body else ''
        if is_chunked:
            framing = 'Transfer-Encoding: chunked\r\n'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request}\r\nX-Request-Deadline: 2000\r\n'
            f'Authorization: Bearer {KEYS[self.tenant]}\r\n{framing}\r\n'
        )
        if is_chunked:
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return head.encode() + body

    async def send_all(self, requests, pause_s=0.0):
        """Send requests and read the answers.

        With the trouble all are sent before the answer to the first.
        """
        if HAS_TROUBLE:
            for request in requests:
                self.writer.write(request)
                await asyncio.sleep(pause_s)
            for _ in requests:
                await self.read_answer()
            return
        for request in requests:
            self.writer.write(request)
            await self.read_answer()

    async def read_answer(self):
        async with asyncio.timeout(4):
            message = await read_message(self.reader)
        text = None if message is None else message[0]
        request = None if message is None else message[1].get('x-request-id')
        self.record.note(f'{self.tenant} gets {text} for {request}')

    def close(self):
        self.writer.close()


async def run(record, fleet):
    standins_2.Backend = StrictBackend
    await fleet.start(
        (('b-1', 'svc', 'north-1'),),
        ('north-1',),
        config(
            1,
            route('r', '/r/', 'svc', max_attempts=1),
            service('svc'),
            tenant('one', KEYS['one']),
            tenant('two', KEYS['two']),
        ),
    )
    instance = fleet.instances[0]
    sent = {}
    await asyncio.sleep(4)
    for number in range(ROUNDS):
        await drop_bodies(record, instance, sent, number)
        await asyncio.sleep(0.3)
        await shift_bytes(record, instance, sent, number)
        await asyncio.sleep(0.3)
    backend = fleet.backends[0]
    faults = list(find_faults(backend, sent))
    for fault in faults:
        record.note(f'FAULT {fault}')
    return bool(faults)


async def drop_bodies(record, instance, sent, number):
    """Send a GET and, behind it, one whose body comes in chunks."""
    client = Client(record, instance, sent, 'one')
    await client.open()
    await client.send_all(
        (
            client.make(f'a{number}', 'GET', '/r/first'),
            client.make(
                f'b{number}',
                'GET',
                '/r/search',
                b'{"grape": "carmenere"}',
                is_chunked=True,
            ),
        )
    )
    client.close()


async def shift_bytes(record, instance, sent, number):
    """Send a GET with a length while the backend is full, then a PUT.

    The body of the PUT looks like a request of another tenant.
    """
    client = Client(record, instance, sent, 'one')
    await client.open()
    inner = (
        f'GET /r/inner HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: inner{number}\r\nX-Tenant-Name: two\r\n'
        'X-Request-Deadline: 1000\r\n\r\n'
    )
    await client.send_all(
        (
            client.make(f'd{number}', 'GET', '/r/slow'),
            # More than the head of the PUT at the backend, less than what the
            # empty lines of its body make up for.
            client.make(f'e{number}', 'GET', '/r/y', b'y' * 300),
        ),
        pause_s=0.2,
    )
    await asyncio.sleep(0.1)
    body = b'\r\n' * 120 + inner.encode()
    await client.send_all(
        (client.make(f'f{number}', 'PUT', '/r/z', body),)
    )
    client.close()


def find_faults(backend, sent):
    """Yield what breaks UNASKED."""
    for request, tenant_name, method, path, body in backend.ran:
        if request not in sent:
            yield (
                f'run of {request}, an id no client sent,'
                f' as of tenant {tenant_name}'
            )
        elif sent[request] != (tenant_name, method, path, body):
            yield (
                f'run of {request} with the body {body!r},'
                f' sent was {sent[request][3]!r}'
            )
    for request, body in backend.rejected:
        if request in sent and not sent[request][3].startswith(body):
            yield (
                f'{request} was rejected before its body; as the body came'
                f' {body[:60]!r}..., sent was {sent[request][3][:20]!r}...'
            )


run_case(run, FOLDER)
