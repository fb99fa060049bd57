"""Serve the routes for operators over a platform in memory, with faults."""

import asyncio
from contextlib import AsyncExitStack

from aiohttp import ClientSession, web

from currantspur.daemon import Metrics
from currantspur.decisions.operators import mint_operator_key
from currantspur.errors import PeerAwayError
from currantspur.messages import InForce, Instance, Proof, ProofAnswer
from currantspur.platform import publish, read_head, read_section
from currantspur.standins import open_memory_platform
from currantspur.standins.faults import FaultTable, wrap_platform
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    name_targets,
)
from currantspur.tasks import (
    AdministrationTask,
    ChangeTask,
    DirectCommitter,
    Journal,
    SteeringTask,
    SystemClock,
)
from currantspur.tasks.peers import PeerPort
from currantspur.wire.admin import AdminListener, AdminServices

TARGETS = name_targets(ETIQUETA_CLARA)[:6]
ADDRESSES = dict.fromkeys(TARGETS, '127.0.0.1:9')
MINTED = {
    'reader': mint_operator_key('reader', 'read'),
    'drainer': mint_operator_key('drainer', 'drain'),
    'anna': mint_operator_key('anna', 'change'),
    'omar': mint_operator_key('omar', 'change'),
}
TRUSTED_SECRET, TRUSTED = mint_operator_key('root', 'change')
SECRETS = {name: secret for name, (secret, _) in MINTED.items()}
SECRETS['root'] = TRUSTED_SECRET
SECRETS['stranger'] = mint_operator_key('stranger', 'change')[0]


class SilentPeers(PeerPort):
    def __init__(self):
        self.versions = {}

    async def ask(self, peer, message, *, timeout_s):
        if peer.name not in self.versions:
            raise PeerAwayError(peer.name)
        version = self.versions[peer.name]
        return ProofAnswer(answerer=peer.name, version=version, age_s=0.5)


class AdminInstance:
    """Hold one instance's administration and a client session."""

    def __init__(self, stack: AsyncExitStack, platform=None):
        self.stack = stack
        self.platform = platform or open_memory_platform()
        self.faults = FaultTable(SystemClock())
        self.peers = SilentPeers()
        seen = wrap_platform(self.platform, self.faults, party='entry-1')
        self.task = AdministrationTask(clock=SystemClock(), trusted=[TRUSTED])
        self.changes = ChangeTask(
            platform=seen,
            committer=DirectCommitter(seen),
            trusted=(TRUSTED,),
        )
        self.journal = Journal()
        self.steering = SteeringTask(
            clock=SystemClock(),
            journal=self.journal.mailbox,
            instance='entry-1',
            freshness_s=1.5,
        )
        self.listener = AdminListener(
            services=AdminServices(
                instance=Instance(
                    name='entry-1',
                    address='127.0.0.1:1',
                    peer='127.0.0.1:2',
                    availability_zone='north-1',
                ),
                administration=self.task.mailbox,
                changes=self.changes.mailbox,
                journal=self.journal.mailbox,
                steering=self.steering.mailbox,
                platform=seen,
                peers=self.peers,
            ),
            metrics=Metrics(),
            is_ready=lambda: True,
        )

    async def open(self):
        for one in (self.task, self.changes, self.journal, self.steering):
            job = asyncio.create_task(one.run())
            self.stack.callback(job.cancel)
        runner = web.AppRunner(self.listener.application(), access_log=None)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{runner.addresses[0][1]}'
        self.session = await self.stack.enter_async_context(
            ClientSession(f'http://{self.address}')
        )
        return self

    async def follow(self):
        head = await read_head(self.platform)
        configuration = await read_section(self.platform, head)
        version = InForce(head=head, configuration=configuration)
        self.task.mailbox.post(version)
        self.steering.mailbox.post(version)
        now = self.task.clock.now()
        self.task.mailbox.post(Proof(version=head.version, proven_at=now))

    async def call(self, method, path, body=None, operator='anna'):
        headers = {}
        if operator is not None:
            headers['Authorization'] = f'Bearer {SECRETS[operator]}'
        sent = {'data': body} if isinstance(body, bytes) else {'json': body}
        async with self.session.request(
            method, path, headers=headers, **sent
        ) as response:
            is_json = 'json' in response.content_type
            shown = response.json() if is_json else response.text()
            return response.status, await shown


async def open_instance(stack, platform=None):
    served = await AdminInstance(stack, platform).open()
    if platform is None:
        configuration = describe_workload(ETIQUETA_CLARA, ADDRESSES)
        configuration.operators = tuple(kept for _, kept in MINTED.values())
        await publish(
            served.platform,
            configuration,
            author='root',
            change_id='first',
            base_version=0,
        )
    await served.follow()
    return served
