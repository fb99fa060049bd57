"""Stand-ins for the review: the platform's store, backends, clients, instances.

Only the standard library is used. Times in records are seconds since the start
of the case. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'labels.example'
ZONES = {'north-1': 'north', 'north-2': 'north', 'south-1': 'south'}
# Bounds of the site ec-filings.
BOUNDS = {
    'contact_s': 4,
    'drain_timeout_s': 2.5,
    'grace_period_s': 6,
    'config_apply_s': 2.5,
    'max_stretch_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'shift_most': 0.15,
}
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lines = []
        self.folder = Path(folder)

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def write(self):
        (self.folder / 'record.txt').write_text('\n'.join(self.lines) + '\n')


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def find_free_net(count):
    """Return a number n so that port 7741 is free at 127.n.0.1 and on.

    The settings template fixes this port of the metrics.
    """
    for _ in range(50):
        net = random.randrange(20, 250)
        try:
            for number in range(count):
                with socket.socket() as probe:
                    probe.bind((f'127.{net}.0.{number + 1}', 7741))
        except OSError:
            continue
        return net
    raise CannotRun('no free addresses')


async def read_message(reader):
    """Return start line, headers (lower case) and body; None at the end."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return start, headers, body


class Server:
    """A TCP server whose connections are closed with it."""

    def __init__(self, ip='127.0.0.1'):
        self.address = ''
        self.ip = ip
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, self.ip, port)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows-get, rows-feed and rows-tx over tables.

    While `is_silent`, a call that arrives or whose answer falls due gets no
    answer, then or later, and its connection delivers nothing further. Calls
    that wait for a change all the while are answered after it.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}
        self.changes = []
        self.ver = 1
        self.changed = asyncio.Event()
        self.is_silent = False
        self.lost_answers = 0

    def put(self, table, key, value):
        """Write a row as the operator or a backend; the return is the ack."""
        return self._apply({(table, key): json.dumps(value).encode()})

    def remove(self, table, key):
        return self._apply({(table, key): None})

    def _apply(self, updates):
        self.ver += 1
        for name, value in updates.items():
            self.changes.append((self.ver, *name))
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            if self.is_silent:
                break
            answer = await self._answer(*message)
            if self.is_silent:
                break
            status, document = answer
            body = json.dumps(
                {'ver': self.ver, 'now_s': time.monotonic(), **document}
            ).encode()
            writer.write(
                b'HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n'
                b'Store-Era: 0\r\nContent-Length: %d\r\n\r\n%b'
                % (status, len(body), body)
            )
            await writer.drain()
        else:
            return
        self.lost_answers += 1
        await reader.read()  # until the caller closes

    async def _answer(self, start, _headers, body):
        method, target, _ = start.split(' ')
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        call = url.path.rpartition('/')[2]
        if call == 'rows-get':
            keys = sorted(
                key
                for table, key in self.rows
                if table == query['table']
                and key >= query.get('from', '')
                and key < query.get('to', '\U0010ffff')
            )
            rows = [self._row(query['table'], key) for key in keys]
            return 200, {'rows': rows, 'has_more': False}
        if call == 'rows-feed':
            return 200, await self._feed(query)
        if call == 'rows-tx':
            transaction = json.loads(body)
            updates = {
                (row['table'], row['key']): b64decode(row['value'])
                for row in transaction.get('writes', ())
            }
            for row in transaction.get('remove', ()):
                updates[row['table'], row['key']] = None
            self._apply(updates)
            return 200, {}
        return 404, {}

    async def _feed(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            keys = {
                key: None
                for ver, table, key in self.changes
                if ver > after and table == query['table']
            }
            left = until - time.monotonic()
            if keys or left <= 0:
                return {'rows': [self._row(query['table'], k) for k in keys]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _row(self, table, key):
        identity = {'table': table, 'part': '', 'key': key}
        if (table, key) not in self.rows:
            return {**identity, 'ver': self.ver, 'deleted': True}
        value, ver = self.rows[table, key]
        return {**identity, 'value': b64encode(value).decode(), 'ver': ver}


class Backend(Server):
    """A backend of one service; `runs` has what it began to work on."""

    def __init__(self, record, name, service, zone, work_s=0.02, slots=4):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.runs = []  # (seconds, request id, tenant)

    def row(self, **changes):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'config_version': 'v1',
            'capacity_slots': self.slots,
            'state': 'ready',
            'cold_remaining_s': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
            **changes,
        }

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            _start, headers, _body = message
            request = headers.get('x-request-id', '')
            if headers.get('x-expect-instance', self.name) != self.name:
                self.answer(writer, 421, request, b'', 'X-Not-Executed: 1\r\n')
                continue
            tenant = headers.get('x-tenant-name', '')
            self.runs.append((self.record.now(), request, tenant))
            self.record.note(f'run {request} by {self.name} ({self.service})')
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.answer(writer, 200, request, b'bytes of ' + request.encode())
            self.running -= 1
            await writer.drain()

    def answer(self, writer, status, request, body, extra=''):
        head = (
            f'HTTP/1.1 {status} Answer\r\nX-Request-Id: {request}\r\n'
            f'X-Server-Stamp: {self.name}.{request}\r\n'
            f'X-Server-Load: {self.running},0,{self.slots}\r\n'
            f'Keep-Alive: timeout=10\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)


def render(template, fields):
    """Fill in a settings template as DEPLOY.md tells, as far as it is used."""

    def find(path, scope):
        found = scope
        for part in path.split('.'):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def section(match):
        entries = find(match[1], fields)
        parts = []
        for number, (key, entry) in enumerate(entries.items()):
            comma = ',' if number < len(entries) - 1 else ''
            text = match[2].replace('{{@}}', key).replace('{{.}}', entry)
            parts.append(text.replace('{{,}}', comma))
        return ''.join(parts)

    def value(match):
        found = find(match[1], fields)
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r'{{#([\w.]+)}}(.*?){{/\1}}', section, template, flags=re.S)
    return re.sub(r'{{([\w.]+)}}', value, text)


class Instance:
    """An instance as its own process, started by the deploy file's command."""

    def __init__(self, record, folder, number, zone, store_address, net):
        self.record = record
        self.folder = Path(folder)
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.ip = f'127.{net}.0.{number + 1}'
        self.process = None
        ports = {name: free_port(self.ip) for name in ('f', 'r', 'd', 'p')}
        self.frontend = f'{self.ip}:{ports["f"]}'
        self.ready = f'{self.ip}:{ports["r"]}'
        self.directory = f'{self.ip}:{ports["d"]}'
        self.fields = {
            'node_name': self.name,
            'zone': zone,
            'zones': ZONES,
            'ip_addr': self.ip,
            'listen_addrs': {
                'frontend': self.frontend,
                'ready': self.ready,
                'directory_addr': self.directory,
            },
            'internal_port_range': [ports['p'], ports['p']],
            'bootstrap': True,
            'limits': {'link_mbps': 1000.0},
            'contract_params': BOUNDS,
            'platform_api': {'address': store_address},
        }

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        settings = self.folder / f'{self.name}.yaml'
        template = (ROOT / role['template']).read_text()
        settings.write_text(render(template, self.fields))
        command = [
            str(settings) if word == '/etc/currantspur/node.json' else word
            for word in role['run'].split()
        ]
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME') if key in os.environ
        }
        environment |= role.get('env', {})
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log_lines(self):
        for line in (self.folder / f'{self.name}.log').open():
            if line.startswith('{'):
                try:
                    yield json.loads(line)
                except ValueError:
                    continue

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def call(address, method, path, headers=(), body=b'', limit_s=5.0):
    """Send one request on a new connection.

    Return status, headers and body. The status is None without a complete
    answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {path} HTTP/1.1', *headers]
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None, {}, b''
    start, answer_headers, answer = message
    return int(start.split(' ')[1]), answer_headers, answer


class Clients:
    """Callers: each attempt has its own id and its time limit."""

    def __init__(self, record):
        self.record = record
        self.number = 0
        self.sent = {}  # id: (seconds, instance, key)

    async def send(self, instance, path, key, method='GET', limit_ms=2000):
        self.number += 1
        request = f'q{self.number:05}'
        self.sent[request] = (self.record.now(), instance.name, key)
        self.record.note(f'send {request} {path} key {key} to {instance.name}')
        status, _headers, _body = await call(
            instance.frontend,
            method,
            path,
            (
                f'Host: {HOST}',
                f'X-Request-Id: {request}',
                f'X-Request-Deadline: {limit_ms}',
                f'Authorization: Bearer {key}',
            ),
            limit_s=limit_ms / 1000,
        )
        self.record.note(f'answer {request} {status}')
        return request, status


def route(name, prefix, service, kind='idempotent', **changes):
    return {
        'resource_kind': 'routes',
        'metadata': {'name': name},
        'spec': {
            'hostname': HOST,
            'prefix': prefix,
            'service': service,
            'route_kind': kind,
            'timeout_s': 3,
            'target_latency_s': 0.3,
            'max_attempts': 2,
            'priority': 1,
            **changes,
        },
    }


def service(name):
    return {
        'resource_kind': 'services',
        'metadata': {'name': name},
        'spec': {
            'health_path': '/health',
            'max_conns': 330,
            'cold_start_s': 3,
            'cold_per_s': 5.5,
        },
    }


def tenant(name, *keys):
    return {
        'resource_kind': 'tenants',
        'metadata': {'name': name},
        'spec': {'api_keys': list(keys), 'rate_per_s': 500, 'burst': 500},
    }


def config(version, *resources):
    limits = {
        'resource_kind': 'limits',
        'metadata': {'name': 'limits'},
        'spec': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_000_000,
            'header_timeout_s': 10,
            'idle_timeout_s': 30,
        },
    }
    return {'config_version': version, 'resource_list': [*resources, limits]}


class Fleet:
    """A store, backends and instances of one case."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.backends = []
        self.instances = []

    async def start(self, backends, zones, first_config):
        """Start all; backends are (name, service, zone)."""
        await self.store.start()
        self.store.put('op', 'config', first_config)
        for name, service_name, zone in backends:
            backend = Backend(self.record, name, service_name, zone)
            await backend.start()
            self.backends.append(backend)
            self.store.put('servers', name, backend.row())
        net = find_free_net(len(zones))
        for number, zone in enumerate(zones):
            instance = Instance(
                self.record,
                self.folder,
                number,
                zone,
                self.store.address,
                net,
            )
            self.instances.append(instance)
            await instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)

    async def wait_ready(self, instance, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _, _ = await call(
                instance.ready, 'GET', '/-/ready', (f'Host: {instance.ready}',)
            )
            if status == 200:
                self.record.note(f'ready {instance.name}')
                return
            if instance.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun(f'{instance.name} is not ready')

    async def end(self):
        await asyncio.gather(*(each.end() for each in self.instances))
        for backend in self.backends:
            backend.stop()
        self.store.stop()


def run_case(case, folder):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 otherwise.

    `case` is a coroutine function of the record and the fleet that returns
    whether the rule was broken.
    """
    record = Record(folder)

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, temporary)
            try:
                async with asyncio.timeout(100):
                    return await case(record, fleet)
            finally:
                await fleet.end()

    try:
        is_broken = asyncio.run(main())
    except (CannotRun, OSError, TimeoutError) as error:
        record.note(f'could not run: {error!r}')
        record.write()
        sys.exit(2)
    trouble = 'with' if HAS_TROUBLE else 'without'
    record.note(f'{"BROKEN" if is_broken else "held"}, {trouble} the trouble')
    record.write()
    print(record.lines[-1])
    sys.exit(int(is_broken))
