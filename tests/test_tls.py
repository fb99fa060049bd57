import asyncio
import ssl
from contextlib import AsyncExitStack

import pytest
from aiohttp import web
from cryptography import x509
from cryptography.x509.oid import NameOID

from currantspur.errors import ListenError, PeerAwayError
from currantspur.messages import Instance, ProofAnswer, ProofRequest
from currantspur.settings import TlsFiles, read_daemon_settings
from currantspur.tasks import Mailbox
from currantspur.wire.peer_grpc import GrpcPeers, PeerServer
from currantspur.wire.server import open_server
from currantspur.wire.tls import CallerTls, PeerTls
from tests.certificates import HOST, Authority
from tests.ports import find_port

DAEMON = """\
instance: entry-1
availability_zone: north-1
listen: 127.0.0.1:8001
peer: 127.0.0.1:8002
admin: 127.0.0.1:8003
platform: 127.0.0.1:9000
tls: {certificate: c.pem, key: k.pem}
peer_tls: {certificate: c.pem, key: k.pem, authority: a.pem}
"""


def name_files(folder, *, authority=True):
    return TlsFiles(
        certificate=str(folder / 'certificate.pem'),
        key=str(folder / 'key.pem'),
        authority=str(folder / 'authority.pem') if authority else None,
    )


async def read_common_name(port):
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    _, writer = await asyncio.open_connection(HOST, port, ssl=context)
    shown = writer.get_extra_info('ssl_object').getpeercert(binary_form=True)
    writer.close()
    subject = x509.load_der_x509_certificate(shown).subject
    return subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value


@pytest.mark.parametrize(
    ('replaced', 'shown'),
    [
        ((), 'first'),
        (('certificate.pem', 'key.pem'), 'second'),
        (('certificate.pem',), 'first'),
        (('key.pem',), 'first'),
    ],
)
async def test_replaced_certificates_serve(replaced, shown, tmp_path):
    authority = Authority('authority')
    for name in ('used', 'other'):
        (tmp_path / name).mkdir()
    authority.issue(tmp_path / 'used', 'first')
    authority.issue(tmp_path / 'other', 'second')
    tls = CallerTls(name_files(tmp_path / 'used', authority=False))
    port = find_port()
    runner = await open_server(web.Application(), f'{HOST}:{port}', tls.context)
    assert await read_common_name(port) == 'first'
    for name in replaced:
        (tmp_path / 'other' / name).replace(tmp_path / 'used' / name)
    tls.reload()
    assert await read_common_name(port) == shown
    await runner.cleanup()


def test_a_daemon_needs_its_certificate(tmp_path):
    with pytest.raises(ListenError):
        CallerTls(name_files(tmp_path))
    with pytest.raises(ListenError):
        PeerTls(name_files(tmp_path)).open_server()
    with pytest.raises(PeerAwayError):
        PeerTls(name_files(tmp_path)).open_channel()


async def answer_proofs(mailbox):
    for letter in await mailbox.take():
        letter.answer(ProofAnswer(answerer='one', version=3, age_s=0.5))


async def ask(port, credentials):
    peers = GrpcPeers(credentials)
    peer = Instance(
        name='one', address='', peer=f'{HOST}:{port}', availability_zone='z'
    )
    try:
        answer = await peers.ask(peer, ProofRequest(asker='two'), timeout_s=1)
    except PeerAwayError:
        return 'away'
    finally:
        await peers.close()
    return answer.version


@pytest.mark.parametrize(
    ('shows', 'outcome'),
    [('same', 3), ('foreign', 'away'), ('nothing', 'away')],
)
async def test_instances_know_each_other(shows, outcome, tmp_path):
    for name in ('server', 'same', 'foreign'):
        (tmp_path / name).mkdir()
    authority = Authority('authority')
    authority.issue(tmp_path / 'server', 'one')
    authority.issue(tmp_path / 'same', 'two')
    Authority('foreign').issue(tmp_path / 'foreign', 'two')
    async with AsyncExitStack() as stack:
        mailbox = Mailbox()
        job = asyncio.create_task(answer_proofs(mailbox))
        stack.callback(job.cancel)
        server = PeerServer({ProofRequest: mailbox})
        port = find_port()
        tls = PeerTls(name_files(tmp_path / 'server'))
        await server.start(f'{HOST}:{port}', tls.open_server())
        stack.push_async_callback(server.stop)
        credentials = None
        if shows != 'nothing':
            credentials = PeerTls(name_files(tmp_path / shows)).open_channel
        assert await ask(port, credentials) == outcome


async def test_instances_take_replaced_files(tmp_path):
    for name in ('server', 'new'):
        (tmp_path / name).mkdir()
    Authority('old').issue(tmp_path / 'server', 'one')
    Authority('new').issue(tmp_path / 'new', 'one')
    server = PeerServer({ProofRequest: Mailbox()})
    tls = PeerTls(name_files(tmp_path / 'server'))
    port = find_port()
    await server.start(f'{HOST}:{port}', tls.open_server())
    job = asyncio.create_task(answer_proofs(server.mailboxes[ProofRequest]))
    newer = PeerTls(name_files(tmp_path / 'new')).open_channel
    assert await ask(port, newer) == 'away'
    for path in (tmp_path / 'new').iterdir():
        (tmp_path / 'server' / path.name).write_bytes(path.read_bytes())
    assert await ask(port, newer) == 3
    job.cancel()
    await server.stop()


def test_settings_name_the_files():
    settings = read_daemon_settings(DAEMON, file='entry.yaml')
    assert settings.tls == TlsFiles(certificate='c.pem', key='k.pem')
    assert settings.peer_tls == TlsFiles(
        certificate='c.pem', key='k.pem', authority='a.pem'
    )
