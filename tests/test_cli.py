import asyncio
import json
from contextlib import AsyncExitStack

import pytest

from currantspur.cli import main
from currantspur.messages import Instance, Membership
from currantspur.platform import read_head, read_section
from currantspur.settings import is_daemon_settings, print_configuration
from tests.operators import SECRETS, open_instance
from tests.test_admin import BROKEN, KEY_ID, TEXT

OTHER = Instance(
    name='entry-2',
    address='127.0.0.1:3',
    peer='127.0.0.1:4',
    availability_zone='south-1',
)


@pytest.fixture
async def served():
    async with AsyncExitStack() as stack:
        yield await open_instance(stack)


class Terminal:
    def __init__(self, served, capsys, monkeypatch):
        self.served = served
        self.capsys = capsys
        self.monkeypatch = monkeypatch

    async def run(self, line, operator='anna'):
        setenv = self.monkeypatch.setenv
        setenv('CURRANTSPUR_ADMIN', self.served.address)
        setenv('CURRANTSPUR_OPERATOR_KEY', SECRETS[operator])
        code = await asyncio.to_thread(run_app, line.split())
        printed = self.capsys.readouterr()
        return code, printed.out, printed.err


@pytest.fixture
def run(served, capsys, monkeypatch, tmp_path):
    (tmp_path / 'good.yaml').write_text(TEXT)
    (tmp_path / 'broken.yaml').write_text(BROKEN)
    monkeypatch.chdir(tmp_path)
    return Terminal(served, capsys, monkeypatch).run


def run_app(tokens):
    try:
        main(tokens)
    except SystemExit as stop:
        return stop.code or 0
    return 0


@pytest.mark.parametrize(
    ('line', 'operator', 'code', 'shown'),
    [
        ('status', 'reader', 0, 'version 1 by root'),
        ('show', 'reader', 0, 'teams:'),
        ('history', 'reader', 0, 'first'),
        ('blame teams[team-1].rate', 'reader', 0, 'teams[team-1].rate  120'),
        ('explain', 'reader', 0, 'no decision matches'),
        ('explain --since 2026-01-02T03:04:05', 'reader', 0, 'no decision'),
        ('explain --until 2026-01-02', 'reader', 0, 'no decision'),
        ('diff good.yaml', 'reader', 1, 'teams[team-9].rate'),
        ('diff missing.yaml', 'reader', 1, ''),
        ('dry-run good.yaml', 'reader', 0, 'team team-9'),
        ('diff broken.yaml', 'reader', 1, ''),
        ('apply good.yaml --base 1', 'anna', 0, 'version 2 by anna'),
        ('apply good.yaml --base 0', 'anna', 3, ''),
        ('apply good.yaml --base 1', 'reader', 4, ''),
        ('apply good.yaml --base 1', 'stranger', 4, ''),
        ('apply good.yaml --base 1 --wait', 'anna', 0, 'version 2'),
        ('restore 1 --base 1', 'anna', 0, 'version 2'),
        ('restore 9 --base 1', 'anna', 2, ''),
        ('keys issue team-1', 'anna', 0, 'ck_'),
        ('keys issue team-99', 'anna', 2, ''),
        (f'keys withdraw {KEY_ID}', 'anna', 0, 'version 2'),
        ('operators issue vera --role drain', 'anna', 0, 'co_'),
        ('drain status', 'reader', 0, 'drain_id'),
        (
            'drain start d1 --scope region --name north',
            'drainer',
            0,
            'version 2 by drainer',
        ),
        ('drain pause d1', 'drainer', 2, ''),
        ('drain cancel d1', 'drainer', 2, ''),
    ],
)
async def test_commands(run, served, line, operator, code, shown):
    follower = asyncio.create_task(follow_always(served))
    came, out, err = await run(line, operator)
    follower.cancel()
    assert came == code, (out, err)
    assert shown in out
    assert shown or err
    assert SECRETS[operator] not in out + err


async def follow_always(served):
    while True:
        await served.follow()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ('line', 'code', 'names'),
    [
        ('status --json', 0, {'instance', 'in_force', 'members'}),
        ('apply good.yaml --base 7 --json', 3, {'code', 'other_author'}),
        ('apply broken.yaml --base 1 --json', 1, {'code', 'findings'}),
        ('keys issue team-1 --json', 0, {'version', 'secret'}),
    ],
)
async def test_json(run, line, code, names):
    came, out, _ = await run(line)
    assert came == code
    assert names <= json.loads(out).keys()


async def test_findings_are_placed(run):
    _, _, err = await run('apply broken.yaml --base 1')
    assert 'broken.yaml:2:19: teams[0].rate: expected a number' in err


async def test_wait_names_who_lags(run, served):
    members = (served.listener.services.instance, OTHER)
    served.task.mailbox.post(Membership(instances=members))
    served.peers.versions[OTHER.name] = 1
    code, _, err = await run('apply good.yaml --base 1 --wait --wait-s 0.4')
    assert code == 6
    assert 'entry-2 (version 1)' in err


async def test_issued_key_works(run, served, monkeypatch):
    _, out, _ = await run('operators issue vera --role read')
    secret = out.split()[-1]
    await served.follow()
    monkeypatch.setitem(SECRETS, 'vera', secret)
    status, _ = await served.call('GET', '/v1/history', None, 'vera')
    assert status == 200
    head = await read_head(served.platform)
    kept = await read_section(served.platform, head)
    assert secret[20:] not in print_configuration(kept)


async def test_mint_prints_settings(run):
    code, out, err = await run('operators mint anna')
    assert code == 0
    assert is_daemon_settings(out) is False
    assert err.startswith('co_')
    assert err.strip()[20:] not in out


def test_unreachable(capsys):
    line = 'status --admin 127.0.0.1:1 --operator-key x'
    assert run_app(line.split()) == 5
    assert 'ClientConnectorError' in capsys.readouterr().err


async def test_proposal_is_applied_by_another(run):
    _, out, _ = await run('proposals add good.yaml --base 1', 'reader')
    proposal_id = out.split()[-1]
    _, out, _ = await run('proposals list', 'reader')
    assert 'reader' in out
    _, out, _ = await run(f'proposals show {proposal_id}')
    assert out == TEXT
    code, out, err = await run(f'proposals apply {proposal_id}', 'omar')
    assert (code, out) == (0, 'version 2 by omar\n'), err
    _, out, _ = await run('history')
    assert 'proposed by reader' in out
