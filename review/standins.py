"""Stand-ins of the platform's store, of backends and of clients.

They use the standard library only. The store speaks the table form of the
users' pages, the backends answer with the proof `X-Server-Stamp`, and entry
instances run as processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from contextlib import ExitStack
from pathlib import Path
from urllib.parse import unquote_plus

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'portal.example'
REGIONS = {'centro-a': 'centro', 'centro-b': 'centro'}
# Figures of the small installation ec-filings.
BOUNDS = {
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'grace_period_s': 6,
    'shift_most': 0.15,
    'contact_s': 4,
    'config_apply_s': 2.5,
    'drain_timeout_s': 2.5,
    'evacuate_s': 5,
}


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w')
        self.started_at = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self.started_at
        self.file.write(f'{at:8.3f} {text}\n')
        self.file.flush()


async def read_head(reader):
    """Return the start line and the headers, names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def reset(writer):
    """Close a connection so that its peer sees a reset."""
    if not writer.transport.is_closing():
        linger = struct.pack('ii', 1, 0)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class HttpServer:
    """Serve one request at a time on each connection."""

    def __init__(self, ip='127.0.0.1'):
        self.ip = ip
        self.server = None
        self.address = ''
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'

    def stop(self):
        """Stop as a process does that crashes."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.respond(reader, writer):
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: tables of rows with long polls for changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.changes = []
        self.ver = 1
        self.era = 0
        self.changed = asyncio.Event()

    def write(self, table, key, value):
        """Write a row, or remove it if the value is None; return the version."""
        self.ver += 1
        self.changes.append((self.ver, table, key))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[table, key] = (text, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def copy(self):
        """Return a copy of the store, to come back from later."""
        return dict(self.rows), list(self.changes), self.ver

    async def come_back(self, copy):
        """Serve again at the same address, from a copy: a new era begins."""
        rows, changes, self.ver = copy
        self.rows, self.changes = dict(rows), list(changes)
        self.era += 1
        await self.start(int(self.address.rpartition(':')[2]))

    async def respond(self, reader, writer):
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        target = first.split(' ')[1]
        path, _, text = target.partition('?')
        query = dict(pair.partition('=')[::2] for pair in text.split('&') if pair)
        query = {name: unquote_plus(value) for name, value in query.items()}
        await asyncio.sleep(0.004)
        status, document = await self.call(path, query, body)
        document = {'ver': self.ver, 'now_s': time.monotonic(), **document}
        encoded = json.dumps(document).encode()
        writer.write(
            f'HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n'
            f'Store-Era: {self.era}\r\nContent-Length: {len(encoded)}\r\n\r\n'.encode()
            + encoded
        )
        return True

    async def call(self, path, query, body):
        if path == '/-/rows-tx':
            call = json.loads(body)
            for row in call.get('writes', ()):
                self.write(row['table'], row['key'], base64.b64decode(row['value']))
            for row in call.get('remove', ()):
                self.write(row['table'], row['key'], None)
            return 200, {}
        if path == '/-/rows-get':
            keys = sorted(
                key
                for table, key in self.rows
                if table == query['table']
                and key >= query.get('from', '')
                and ('to' not in query or key < query['to'])
            )
            rows = [self._encode(query['table'], key) for key in keys]
            return 200, {'rows': rows, 'has_more': False}
        if path == '/-/rows-feed':
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        if after > self.ver:
            return 410, {}
        while True:
            keys = dict.fromkeys(
                key
                for ver, table, key in self.changes
                if table == query['table'] and ver > after
            )
            left = ends_at - time.monotonic()
            if keys or left <= 0:
                rows = [self._encode(query['table'], key) for key in keys]
                return 200, {'rows': rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _encode(self, table, key):
        row = {'table': table, 'part': '', 'key': key}
        known = self.rows.get((table, key))
        if known is None:
            return {**row, 'ver': self.ver, 'deleted': True}
        return {**row, 'value': base64.b64encode(known[0]).decode(), 'ver': known[1]}


class StoreLink:
    """The link of one instance to the store, which can be cut."""

    def __init__(self, store_address):
        self.store_address = store_address
        self.is_cut = False
        self.calls = 0
        self.writers = set()
        self.server = None
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}'

    def cut(self):
        """Reset all connections, and each new one, until it heals."""
        self.is_cut = True
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    def heal(self):
        self.is_cut = False

    def stop(self):
        self.server.close()
        self.cut()

    async def _serve(self, reader, writer):
        if self.is_cut:
            reset(writer)
            return
        ip, port = self.store_address.split(':')
        store_reader, store_writer = await asyncio.open_connection(ip, int(port))
        self.writers |= {writer, store_writer}
        await asyncio.gather(
            self._pass_on(reader, store_writer, is_call=True),
            self._pass_on(store_reader, writer, is_call=False),
        )
        self.writers -= {writer, store_writer}

    async def _pass_on(self, reader, writer, *, is_call):
        try:
            while received := await reader.read(65536):
                self.calls += is_call
                writer.write(received)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Backend(HttpServer):
    """A sound backend: it runs what it accepts, and says what it did not run."""

    def __init__(self, name, service, record, *, zone='centro-a', work_s=0.05, slots=4):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        # What was run: id, method, path, headers and body.
        self.ran = []
        # Whether it says in its answers that it leaves.
        self.is_leaving = False
        self.body = b'the whole answer of a backend'

    def row(self, state='ready'):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'config_version': 'v1',
            'capacity_slots': self.slots,
            'state': state,
            'cold_remaining_s': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def respond(self, reader, writer):
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        method, path, _ = first.split(' ')
        request_id = headers.get('x-request-id')
        expected = headers.get('x-expect-instance', self.name)
        if expected != self.name or not request_id or self.running >= 3 * self.slots:
            status = 421 if expected != self.name else 400 if not request_id else 503
            writer.write(self.head(status, request_id, 0, extra='X-Not-Executed: 1\r\n'))
            return True
        self.running += 1
        self.ran.append((request_id, method, path, headers, body))
        self.record(f'{self.name} runs {request_id} {method} {path} {len(body)} bytes')
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return await self.answer(request_id, writer)

    async def answer(self, request_id, writer):
        writer.write(self.head(200, request_id, len(self.body)) + self.body)
        return True

    def head(self, status, request_id, length, *, extra=''):
        load = f'{self.running},0,{self.slots}'
        leaving = 'Server-Leaving: 1\r\n' if self.is_leaving else ''
        return (
            f'HTTP/1.1 {status} Answer\r\nX-Request-Id: {request_id or ""}\r\n'
            f'X-Server-Stamp: {self.name}.{request_id}\r\nX-Server-Load: {load}\r\n'
            f'Content-Length: {length}\r\n{leaving}{extra}\r\n'
        ).encode()


def make_config(version, routes, services, tenants=None, limits=None):
    """Return a config of the operator; each part maps names to specs."""
    resources = []
    for kind, specs in (('routes', routes), ('services', services), ('tenants', tenants or {})):
        for name, spec in specs.items():
            resources.append(
                {'resource_kind': kind, 'metadata': {'name': name}, 'spec': spec}
            )
    spec = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1048576,
        'header_timeout_s': 5,
        'idle_timeout_s': 30,
        **(limits or {}),
    }
    resources.append({'resource_kind': 'limits', 'metadata': {}, 'spec': spec})
    return {'config_version': version, 'resource_list': resources}


def make_route(prefix, service, kind='idempotent', **more):
    return {
        'hostname': HOST,
        'prefix': prefix,
        'service': service,
        'route_kind': kind,
        'timeout_s': 4.0,
        'target_latency_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
        **more,
    }


def make_service(**more):
    return {'health_path': '/health', 'max_conns': 330, 'cold_start_s': 0, 'cold_per_s': 0, **more}


def render(template, fields):
    """Fill in a settings template in the way of the platform."""

    def section(match):
        entries = fields[match[1]]
        parts = []
        for number, (key, value) in enumerate(entries.items()):
            part = match[2].replace('{{@}}', key).replace('{{.}}', value)
            comma = ',' if number + 1 < len(entries) else ''
            parts.append(part.replace('{{,}}', comma))
        return ''.join(parts)

    def value(match):
        found = fields
        for name in match[1].split('.'):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if isinstance(found, (bool, dict)) else str(found)

    text = re.sub(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S)
    return re.sub(r'\{\{([\w.]+)\}\}', value, text)


def find_free_ports(ip, count):
    """Return different ports that are free on an address."""
    with ExitStack() as probes:
        sockets = [probes.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]


def choose_ip(number):
    """Return a loopback address on which the fixed ports are free."""
    for _ in range(100):
        ip = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}.{number + 1}'
        try:
            with socket.socket() as metrics, socket.socket() as peer:
                metrics.bind((ip, 7741))
                peer.bind((ip, 7740))
        except OSError:
            continue
        return ip
    raise RuntimeError('no loopback address is free')


class Entry:
    """One entry instance as a process, started as the deploy file says."""

    def __init__(self, number, store, folder, record, zone='centro-a', **changes):
        self.record = record
        self.ip = choose_ip(number)
        self.name = f'edge-{zone}-{number}'
        names = ('frontend', 'ready', 'directory_addr')
        ports = zip(names, find_free_ports(self.ip, len(names)), strict=True)
        self.addresses = {name: f'{self.ip}:{port}' for name, port in ports}
        self.address = self.addresses['frontend']
        fields = {
            'node_name': self.name,
            'zone': zone,
            'region': REGIONS[zone],
            'zones': REGIONS,
            'ip_addr': self.ip,
            'listen_addrs': self.addresses,
            'internal_port_range': [7740, 7755],
            'platform_api': {'address': store},
            'limits': {'link_mbps': 1000.0},
            'bootstrap': False,
            'contract_params': {**BOUNDS, **changes},
        }
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['entry']
        template = (ROOT / self.role['template']).read_text()
        self.settings = Path(folder) / f'{self.name}.yaml'
        self.settings.write_text(render(template, fields))
        self.log_path = Path(folder) / f'{self.name}.log'
        self.process = None

    async def start(self):
        words = self.role['run'].split()
        words[-1] = str(self.settings)
        env = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        env.update(self.role.get('env', {}), PYTHONPATH=str(ROOT / 'target/deps'))
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.record(f'{self.name} starts')

    def has_ended(self):
        return self.process.returncode is not None

    def send_signal(self, number):
        if not self.has_ended():
            self.record(f'{self.name} gets {signal.Signals(number).name}')
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and not self.has_ended():
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            return (await fetch(self.addresses['ready'], '/-/ready', timeout_s=1)).status == 200
        except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            return False


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def stamp(self):
        return self.headers.get('x-server-stamp')

    def __str__(self):
        return f'{self.status} stamp {self.stamp} {len(self.body)} bytes'


class Client:
    """A connection of a caller, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        ip, port = self.address.split(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def send(self, path, *, method='GET', request_id=None, key=None, body=b'',
                   headers=(), deadline_ms=4000):
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}',
                 f'X-Request-Id: {request_id or new_id()}', f'X-Request-Deadline: {deadline_ms}']
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        lines.extend(headers)
        self.writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
        await self.writer.drain()

    async def read(self):
        first, headers = await read_head(self.reader)
        return Answer(int(first.split(' ')[1]), headers, await read_body(self.reader, headers))

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def fetch(address, path, *, timeout_s=6, **options):
    """Send one request on a connection of its own and return the answer."""
    client = Client(address)
    try:
        async with asyncio.timeout(timeout_s):
            await client.open()
            await client.send(path, **options)
            return await client.read()
    finally:
        client.close()


def new_id():
    return f'{random.getrandbits(64):016x}'


class Fleet:
    """A store, backends and entry instances in a temporary folder."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.store = Store()
        self.backends = []
        self.entries = []
        self.links = []
        self.version = 0

    async def open(self, *, entries=2, backends=(), config, has_links=False):
        """Start everything; with links, each instance has its own to the store."""
        await self.store.start()
        for backend in backends:
            await backend.start()
            self.backends.append(backend)
            self.register(backend)
        self.configure(**config)
        for number in range(entries):
            zone = list(REGIONS)[number % len(REGIONS)]
            address = self.store.address
            if has_links:
                self.links.append(StoreLink(address))
                await self.links[-1].start()
                address = self.links[-1].address
            entry = Entry(number, address, self.folder.name, self.record, zone)
            self.entries.append(entry)
            await entry.start()
        await self.wait_until_ready()

    def register(self, backend, state='ready'):
        self.record(f'{backend.name} writes its row: {state}')
        self.store.write('servers', backend.name, backend.row(state))

    def configure(self, **config):
        self.version += 3
        self.store.write('op', 'config', make_config(self.version, **config))
        self.record(f'the store acknowledges config version {self.version}')

    async def wait_until_ready(self, timeout_s=20):
        async with asyncio.timeout(timeout_s):
            for entry in self.entries:
                while not await entry.is_ready():
                    if entry.has_ended():
                        raise RuntimeError(entry.log_path.read_text()[-2000:])
                    await asyncio.sleep(0.1)

    async def close(self):
        for entry in self.entries:
            await entry.kill()
        for server in (*self.backends, *self.links, self.store):
            if server.server is not None:
                server.stop()
        self.folder.cleanup()


def run(folder, case):
    """Run a case; exit with 1 if its rule was broken, 0 if held, 2 if not run."""
    record = Record(folder)
    record(f'TROUBLE={int(TROUBLE)}')

    async def main():
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await case(fleet, record)
        finally:
            await fleet.close()

    try:
        is_broken = asyncio.run(main())
    except Exception as error:
        record(f'the case could not run: {error!r}')
        print(f'not run: {error!r}')
        sys.exit(NOT_RUN)
    record('the rule was broken' if is_broken else 'the rule held')
    print('broken' if is_broken else 'held')
    sys.exit(BROKEN if is_broken else HELD)
