"""Assemble the tasks, pipelines and listeners of one entry instance."""

import asyncio
from collections.abc import Iterator
from random import Random
from ssl import SSLContext
from typing import Any

import grpc
from loguru import logger

from currantspur.departure import Departure
from currantspur.errors import ListenError, PlatformError
from currantspur.jobs import Jobs
from currantspur.messages import Instance, Message
from currantspur.settings import DaemonSettings
from currantspur.tasks import (
    AdministrationTask,
    AdmissionTask,
    Attempts,
    BlockLoader,
    ChangeTask,
    ClaimSweep,
    ClaimTask,
    Clock,
    Control,
    DecisionWriter,
    Exchange,
    HealthTask,
    Journal,
    Limits,
    Mailbox,
    SteeringTask,
    SystemClock,
    TargetPool,
    Task,
)
from currantspur.wire.admin import AdminListener, AdminServices
from currantspur.wire.health import HttpHealth
from currantspur.wire.listener import Listener
from currantspur.wire.peer_grpc import GrpcPeers, PeerServer
from currantspur.wire.platform_http import PlatformClient, open_platform
from currantspur.wire.server import open_server
from currantspur.wire.targets import HttpTargets
from currantspur.wire.telemetry import Metrics, open_tracer
from currantspur.wire.tls import CallerTls, PeerTls


class Daemon:
    """Run one entry instance from start to graceful stop."""

    __slots__ = (
        'administration',
        'admission',
        'blocks',
        'changes',
        'claims',
        'client',
        'clock',
        'control',
        'decisions',
        'health',
        'jobs',
        'journal',
        'limits',
        'listener',
        'metrics',
        'peer_server',
        'peers',
        'pool',
        'runners',
        'settings',
        'steering',
        'targets',
        'tracer',
    )

    def __init__(
        self, settings: DaemonSettings, *, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.tracer = open_tracer(
            instance=settings.instance, collector=settings.collector
        )
        self.client = PlatformClient(
            settings.platform, caller=settings.instance
        )
        self.targets = HttpTargets()
        peer_tls = settings.peer_tls
        self.peers = GrpcPeers(
            PeerTls(peer_tls).open_channel if peer_tls else None
        )
        self.admission = AdmissionTask(
            clock=self.clock,
            freshness_s=settings.freshness_s,
            instance=settings.instance,
            availability_zone=settings.availability_zone,
        )
        self.decisions = DecisionWriter(
            store=open_platform(self.client).object_store,
            clock=self.clock,
            instance=settings.instance,
        )
        self.journal = Journal(writer=self.decisions.mailbox)
        self.pool = TargetPool(
            clock=self.clock,
            availability_zone=settings.availability_zone,
            instance=settings.instance,
            journal=self.journal.mailbox,
        )
        self.health = HealthTask(
            port=HttpHealth(),
            clock=self.clock,
            availability_zone=settings.availability_zone,
            instance=settings.instance,
            pool=self.pool.mailbox,
            journal=self.journal.mailbox,
        )
        self.pool.health = self.health.mailbox
        self.steering = SteeringTask(
            clock=self.clock,
            journal=self.journal.mailbox,
            instance=settings.instance,
            freshness_s=settings.freshness_s,
        )
        self.limits = Limits(
            instance=settings.instance,
            clock=self.clock,
            freshness_s=settings.freshness_s,
            admission=self.admission,
            pool=self.pool,
            peers=self.peers,
            journal=self.journal.mailbox,
        )
        self.administration = AdministrationTask(
            clock=self.clock, trusted=settings.operators
        )
        self.blocks = BlockLoader(
            store=open_platform(self.client).object_store,
            clock=self.clock,
            steering=self.steering.mailbox,
        )
        self.control = self._open_control()
        self.limits.planner.committer = self.control.committer
        self.claims = ClaimTask(
            platform=self.control.count('claims'), clock=self.clock
        )
        self.changes = ChangeTask(
            platform=self.control.platform,
            committer=self.control.committer,
            trusted=settings.operators,
        )
        self.peer_server = PeerServer(self._peer_mailboxes())
        self.listener = Listener(
            exchange=self._open_exchange(),
            steering=self.steering.mailbox,
            clock=self.clock,
            metrics=self.metrics,
            tracer=self.tracer,
        )
        self.jobs = Jobs()
        self.runners: list[Any] = []

    async def start(self) -> None:
        """Listen and start every task; raise ListenError where one cannot."""
        try:
            await self._listen()
        except ListenError:
            await self._end()
            raise
        for task in self._tasks():
            self.jobs.start(task.run())
        for work in self.control.runs():
            self.jobs.start(work)
        self.jobs.start(self.changes.run())
        self.jobs.start(self._open_sweep().run())
        logger.info(
            '{} listens at {}', self.settings.instance, self.settings.listen
        )

    def is_ready(self) -> bool:
        """Tell whether a version is in force."""
        return self.control.follower.head is not None

    async def leave(self, hurried: 'asyncio.Task[None]') -> None:
        """Leave the answers, wait out caches and requests, and stop."""
        departure = Departure(
            reader=self.control.membership_reader,
            steering=self.steering.mailbox,
            listener=self.listener,
            claims=self.claims.mailbox,
            clock=self.clock,
        )
        leaving = asyncio.create_task(departure.run(self.runners[0]))
        await asyncio.wait(
            (leaving, hurried),
            timeout=self.settings.leave_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not leaving.done():
            logger.warning('leaving is cut short')
            leaving.cancel()
            self.listener.cut()
        await self.stop()

    async def stop(self) -> None:
        """Announce leaving, finish what runs, and close, once."""
        if not self.runners:
            return
        try:
            await self.control.membership_reader.leave()
        except PlatformError as error:
            logger.warning('could not announce leaving: {}', error)
        await self._end()
        logger.info('{} stopped', self.settings.instance)

    async def _listen(self) -> None:
        admin = AdminListener(
            services=self._open_services(),
            metrics=self.metrics,
            is_ready=self.is_ready,
        )
        settings = self.settings
        for application, address, context in (
            (
                self.listener.application(),
                settings.listen,
                self._open_caller_tls(),
            ),
            (admin.application(), settings.admin, None),
        ):
            self.runners.append(
                await open_server(application, address, context)
            )
        await self.peer_server.start(settings.peer, self._open_peer_tls())

    async def _end(self) -> None:
        while self.runners:
            await self.runners.pop(0).cleanup()
        await self.jobs.stop()
        for close in (
            self.peer_server.stop,
            self.peers.close,
            self.targets.close,
            self.health.port.close,
            self.client.close,
        ):
            await close()

    def _open_sweep(self) -> ClaimSweep:
        return ClaimSweep(
            table=self.control.count('claim_sweep').table,
            clock=self.clock,
            random=Random(self.settings.instance),
        )

    def _open_caller_tls(self) -> SSLContext | None:
        if self.settings.tls is None:
            return None
        tls = CallerTls(self.settings.tls)
        self.jobs.start(tls.watch(self.clock))
        return tls.context

    def _open_peer_tls(self) -> grpc.ServerCredentials | None:
        if self.settings.peer_tls is None:
            return None
        tls = PeerTls(self.settings.peer_tls)
        credentials = tls.open_server()
        self.jobs.start(tls.watch(self.clock, self.peers.close))
        return credentials

    def _peer_mailboxes(self) -> dict[type[Message], Mailbox]:
        return {
            **self.control.questions(),
            **self.limits.questions(),
        }

    def _tasks(self) -> Iterator[Task]:
        yield self.admission
        yield self.pool
        yield self.steering
        yield self.journal
        yield from self.limits.tasks()
        yield self.claims
        yield self.administration
        yield self.blocks
        yield self.decisions
        yield self.health

    def _open_control(self) -> Control:
        settings = self.settings
        instance = Instance(
            name=settings.instance,
            address=settings.listen,
            peer=settings.peer,
            availability_zone=settings.availability_zone,
        )
        tasks = (
            self.admission,
            self.pool,
            self.steering,
            self.blocks,
            self.health,
            self.administration,
        )
        return Control(
            platform=open_platform(self.client),
            peers=self.peers,
            instance=instance,
            clock=self.clock,
            poll_s=settings.poll_s,
            journal=self.journal.mailbox,
            # Parts come before the version that they belong to is used.
            readers=[
                *self.limits.readers(),
                *(task.mailbox for task in tasks),
            ],
            seeds=map(_name_seed, settings.seeds),
            counter=self.metrics.platform_calls,
        )

    def _open_services(self) -> AdminServices:
        return AdminServices(
            instance=self.control.instance,
            administration=self.administration.mailbox,
            admission=self.admission.mailbox,
            changes=self.changes.mailbox,
            journal=self.journal.mailbox,
            steering=self.steering.mailbox,
            platform=self.control.platform,
            peers=self.peers,
        )

    def _open_exchange(self) -> Exchange:
        return Exchange(
            admission=self.admission.mailbox,
            claims=self.claims.mailbox,
            attempts=Attempts(
                admission=self.admission.mailbox,
                pool=self.pool.mailbox,
                targets=self.targets,
                clock=self.clock,
                tracer=self.tracer,
            ),
            tracer=self.tracer,
        )


def _name_seed(peer: str) -> Instance:
    return Instance(name='', address='', peer=peer, availability_zone='')
