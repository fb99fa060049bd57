import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

from aiohttp import ClientSession, web
from opentelemetry.trace import NoOpTracer

from currantspur.decisions.identity import mint_key
from currantspur.messages import (
    Configuration,
    Head,
    InForce,
    Part,
    Parts,
    Proof,
    Route,
    Steering,
    Target,
    Team,
)
from currantspur.standins import TargetStandin, open_memory_platform
from currantspur.standins.target import FAULT_HEADER
from currantspur.tasks import (
    AdmissionTask,
    Attempts,
    ClaimTask,
    Exchange,
    Mailbox,
    SteeringTask,
    SystemClock,
    TargetPool,
)
from currantspur.wire.listener import Listener
from currantspur.wire.targets import HttpTargets
from currantspur.wire.telemetry import Metrics

SECRET, KEPT = mint_key('team-1')
RATE = 100_000
VERSION = 1


class Entry:
    """One entry's tasks without a daemon, told what it needs by messages."""

    def __init__(self, stack, platform, configuration):
        self.clock = SystemClock()
        self.admission = AdmissionTask(clock=self.clock, freshness_s=1e6)
        self.pool = TargetPool(clock=self.clock, availability_zone='z-1')
        self.claims = ClaimTask(platform=platform, clock=self.clock)
        self.steering = SteeringTask(
            clock=self.clock,
            journal=Mailbox(),
            instance='entry-1',
            freshness_s=1.5,
        )
        self.targets = HttpTargets()
        self.metrics = Metrics()
        self.configuration = configuration
        self.url = ''
        stack.push_async_callback(self.targets.close)
        head = Head(version=VERSION, sections={}, author='a', change_id='c')
        for task in (self.admission, self.pool):
            task.mailbox.post(InForce(head=head, configuration=configuration))
        part = Part(rate=RATE, burst=RATE)
        self.admission.mailbox.post(
            Proof(version=VERSION, proven_at=self.clock.now())
        )
        self.admission.mailbox.post(
            Parts(by_limit={'team/team-1': part}, version=VERSION)
        )

    def application(self):
        attempts = Attempts(
            admission=self.admission.mailbox,
            pool=self.pool.mailbox,
            targets=self.targets,
            clock=self.clock,
            tracer=NoOpTracer(),
        )
        listener = Listener(
            exchange=Exchange(
                admission=self.admission.mailbox,
                claims=self.claims.mailbox,
                attempts=attempts,
                tracer=NoOpTracer(),
            ),
            steering=self.steering.mailbox,
            clock=self.clock,
            metrics=self.metrics,
            tracer=NoOpTracer(),
        )
        self.listener = listener
        return listener.application()

    def busy(self):
        return self.listener.is_busy


class Site:
    """Targets, entries that share them and a platform, and one caller."""

    def __init__(self, stack, session):
        self.stack = stack
        self.session = session
        self.platform = open_memory_platform()
        self.targets = []
        self.entries = []

    async def serve(self, application, **options):
        runner = web.AppRunner(application, access_log=None, **options)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return f'127.0.0.1:{runner.addresses[0][1]}'

    def runs(self, key):
        return sum(target.runs[key] for target in self.targets)

    async def call(self, path, *, entry=0, fault=None, key=None, **options):
        headers = {'Authorization': f'Bearer {SECRET}'}
        headers.update(options.pop('headers', {}))
        if fault:
            headers[FAULT_HEADER] = fault
        if key:
            headers['Idempotency-Key'] = key
        method = options.pop('method', 'GET')
        url = f'{self.entries[entry].url}{path}'
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            return response, await response.read()


@asynccontextmanager
async def open_site(*, targets=2, entries=1, slots=3, steering=None, **standin):
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        site = Site(stack, session)
        described = []
        for index in range(targets):
            target = TargetStandin(name=f'target-{index}', **standin)
            site.targets.append(target)
            described.append(
                Target(
                    name=target.name,
                    service='service',
                    address=await site.serve(target.application()),
                    availability_zone='z-1',
                    slots=slots,
                )
            )
        configuration = Configuration(
            routes=(
                Route(prefix='/read', service='service', deadline_s=5),
                Route(
                    prefix='/submit',
                    service='service',
                    deadline_s=5,
                    idempotent=False,
                ),
            ),
            teams=(Team(name='team-1', rate=RATE, burst=RATE),),
            keys=(KEPT,),
            targets=tuple(described),
            steering=steering or Steering(),
        )
        for _ in range(entries):
            entry = Entry(stack, site.platform, configuration)
            site.entries.append(entry)
            for task in (
                entry.admission,
                entry.pool,
                entry.claims,
                entry.steering,
            ):
                stack.callback(asyncio.create_task(task.run()).cancel)
            address = await site.serve(
                entry.application(), handler_cancellation=True
            )
            entry.url = f'http://{address}'
        yield site
