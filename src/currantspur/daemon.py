"""Assemble the tasks, pipelines and listeners of one entry instance."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from currantspur.errors import PlatformError
from currantspur.messages import Instance
from currantspur.settings import DaemonSettings
from currantspur.tasks import (
    AdmissionTask,
    BlockLoader,
    Clock,
    Exchange,
    Journal,
    Ledger,
    PlatformLink,
    SteeringTask,
    SystemClock,
    TargetPool,
    Task,
)
from currantspur.wire.admin import AdminListener
from currantspur.wire.listener import Listener
from currantspur.wire.platform_http import PlatformClient, open_platform
from currantspur.wire.server import open_server
from currantspur.wire.targets import HttpTargets
from currantspur.wire.telemetry import Metrics, open_tracer


class Daemon:
    """Run one entry instance from start to graceful stop."""

    __slots__ = (
        'admission',
        'blocks',
        'client',
        'clock',
        'jobs',
        'journal',
        'link',
        'metrics',
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
        self.client = PlatformClient(settings.platform)
        self.targets = HttpTargets()
        self.admission = AdmissionTask(
            clock=self.clock, freshness_s=settings.freshness_s
        )
        self.pool = TargetPool(
            clock=self.clock, availability_zone=settings.availability_zone
        )
        self.steering = SteeringTask()
        self.journal = Journal()
        self.blocks = BlockLoader(
            store=open_platform(self.client).object_store,
            clock=self.clock,
            steering=self.steering.mailbox,
        )
        self.link = self._open_link()
        self.jobs: list[asyncio.Task[None]] = []
        self.runners: list[Any] = []

    async def start(self) -> None:
        """Listen and start every task; raise ListenError where one cannot."""
        listener = Listener(
            exchange=self._open_exchange(),
            steering=self.steering.mailbox,
            clock=self.clock,
            metrics=self.metrics,
            tracer=self.tracer,
        )
        admin = AdminListener(
            metrics=self.metrics,
            journal=self.journal.mailbox,
            is_ready=self.is_ready,
        )
        settings = self.settings
        for application, address in (
            (listener.application(), settings.listen),
            (admin.application(), settings.admin),
        ):
            self.runners.append(await open_server(application, address))
        for task in self._tasks():
            self._spawn(task.run())
        self._spawn(self.link.run())
        logger.info('{} listens at {}', settings.instance, settings.listen)

    def is_ready(self) -> bool:
        """Tell whether a version is in force."""
        return self.link.head is not None

    async def stop(self) -> None:
        """Leave the answers, finish what runs, and close."""
        try:
            await self.link.leave()
        except PlatformError as error:
            logger.warning('could not announce leaving: {}', error)
        for runner in self.runners:
            await runner.cleanup()
        for job in self.jobs:
            job.cancel()
        await asyncio.gather(*self.jobs, return_exceptions=True)
        await self.targets.close()
        await self.client.close()
        logger.info('{} stopped', self.settings.instance)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.jobs.append(asyncio.create_task(work))

    def _tasks(self) -> tuple[Task, ...]:
        return (
            self.admission,
            self.pool,
            self.steering,
            self.journal,
            self.blocks,
        )

    def _open_link(self) -> PlatformLink:
        settings = self.settings
        instance = Instance(
            name=settings.instance,
            address=settings.listen,
            peer=settings.peer,
            availability_zone=settings.availability_zone,
        )
        tasks = (self.admission, self.pool, self.steering, self.blocks)
        return PlatformLink(
            platform=open_platform(self.client),
            instance=instance,
            clock=self.clock,
            poll_s=settings.poll_s,
            readers=[task.mailbox for task in tasks],
            journal=self.journal.mailbox,
        )

    def _open_exchange(self) -> Exchange:
        return Exchange(
            admission=self.admission.mailbox,
            pool=self.pool.mailbox,
            ledger=Ledger(table=self.link.platform.table),
            targets=self.targets,
            clock=self.clock,
            tracer=self.tracer,
        )
