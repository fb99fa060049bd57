import asyncio
import logging
from contextlib import AsyncExitStack

import pytest
from aiohttp import ClientSession, web
from loguru import logger

from currantspur.daemon import Daemon
from currantspur.decisions.identity import mint_key
from currantspur.decisions.operators import mint_operator_key
from currantspur.settings import DaemonSettings
from currantspur.standins import PlatformStandin
from currantspur.standins.fleet import Fleet
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    name_targets,
)

SHOWN = 20
TARGETS = name_targets(ETIQUETA_CLARA)[:48:12]
TEAM_SECRET, TEAM_KEY = mint_key('team-1')
STRAY_SECRET, _ = mint_key('team-1')
ROOT_SECRET, ROOT = mint_operator_key('root', 'change')
SECRETS = (TEAM_SECRET, STRAY_SECRET, ROOT_SECRET)
CALLS = [
    ('listen', 'GET', '/status/1', {}),
    ('listen', 'GET', '/varieties/1', {}),
    ('listen', 'GET', '/nowhere', {}),
    ('listen', 'POST', '/submission/1', {'Idempotency-Key': 'one'}),
    ('listen', 'GET', '/status/1', {'X-Request-Timeout-Ms': 'x'}),
    ('listen', 'GET', '/status/1', {'X-Team': 'team-2'}),
    ('listen', 'GET', '/-/entries?client=10.1.2.3', {}),
    ('listen', 'GET', '/-/entries?client=x', {}),
    ('admin', 'GET', '/v1/status', {}),
    ('admin', 'GET', '/v1/configuration', {}),
    ('admin', 'GET', '/v1/history', {}),
    ('admin', 'POST', '/v1/changes', {}),
    ('admin', 'GET', '/nowhere', {}),
    ('admin', 'GET', '/v1/explain', {}),
    ('admin', 'GET', '/metrics', {}),
    ('admin', 'GET', '/', {}),
]
SCHEMES = ('Bearer {}', 'Basic {}', '{}', 'Bearer {} {}', 'Bearer {}é')
RAW = (
    b'GET /status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\x00\r\n\r\n',
    b'GET /status HTTP/1.1\r\nHost: a\r\nAuthorization Bearer %s\r\n\r\n',
    b'Bearer %s\r\n\r\n',
)


class Witness:
    """Keep everything that leaves the process."""

    def __init__(self):
        self.texts = []

    def write(self, text):
        self.texts.append(str(text))

    async def collect(self, request):
        self.write(await request.read())
        return web.Response()

    def watch(self, stack):
        sink = logger.add(self.write, level=0, backtrace=True, diagnose=True)
        stack.callback(logger.remove, sink)
        handler = logging.StreamHandler(self)
        root = logging.getLogger()
        root.addHandler(handler)
        level = root.level
        root.setLevel(logging.DEBUG)
        stack.callback(root.setLevel, level)
        stack.callback(root.removeHandler, handler)


async def open_daemon(stack, fleet, witness):
    collector = web.Application()
    collector.router.add_post('/{path:.*}', witness.collect)
    daemon = Daemon(
        DaemonSettings(
            instance='entry-1',
            availability_zone='north-1',
            listen=await fleet.find_free_address(),
            peer=await fleet.find_free_address(),
            admin=await fleet.find_free_address(),
            platform=await fleet.serve(
                PlatformStandin(fleet.platform).application()
            ),
            collector=await fleet.serve(collector),
            operators=(ROOT,),
        )
    )
    await daemon.start()
    fleet.daemons.append(daemon)
    stack.push_async_callback(daemon.stop)
    return daemon


async def drive(daemon, session, witness):
    for listener, method, path, headers in CALLS:
        address = getattr(daemon.settings, listener)
        for secret in SECRETS:
            for scheme in SCHEMES:
                shown = scheme.format(secret, secret)
                async with session.request(
                    method,
                    f'http://{address}{path}',
                    headers={**headers, 'Authorization': shown},
                ) as response:
                    witness.write(response.headers)
                    witness.write(await response.read())


async def send_raw(daemon):
    for address in (daemon.settings.listen, daemon.settings.admin):
        host, port = address.split(':')
        for secret in SECRETS:
            for raw in RAW:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(raw % secret.encode())
                await reader.read(1 << 16)
                writer.close()


@pytest.fixture
async def witness(capfd):
    watched = Witness()
    async with AsyncExitStack() as stack:
        watched.watch(stack)
        fleet = Fleet(stack)
        addresses = await fleet.open_targets(TARGETS)
        configuration = describe_workload(ETIQUETA_CLARA, addresses)
        configuration.keys = (TEAM_KEY,)
        daemon = await open_daemon(stack, fleet, watched)
        await fleet.apply(configuration)
        async with ClientSession() as session:
            await drive(daemon, session, watched)
        await send_raw(daemon)
        processor = daemon.tracer.span_processor
        await asyncio.to_thread(processor.force_flush)
        for target in fleet.targets.values():
            watched.write(target.headers_seen)
        watched.write(fleet.platform.table.rows)
        watched.write(fleet.platform.object_store.bodies)
    watched.texts.extend(capfd.readouterr())
    return watched


async def test_no_secret_leaves(witness):
    everything = '\n'.join(witness.texts)
    assert 'entry.request' in everything
    assert 'team-1' in everything
    assert TEAM_KEY.digest in everything
    for secret in SECRETS:
        at = everything.find(secret[SHOWN:])
        assert at < 0, everything[max(0, at - 300) : at + 100]
