"""Assembly of the tasks, clients and servers of one entry instance."""

from collections.abc import Iterator
from random import Random

from currantspur.background_tasks import BackgroundTasks
from currantspur.client_limits import AddressKey, ClientLimits
from currantspur.decisions.idle_connections import bound_idle_connections
from currantspur.decisions.topology import Topology
from currantspur.errors import ListenError
from currantspur.messages import FleetView, Instance
from currantspur.platform import PLATFORM_NAMES, PlatformStore
from currantspur.platform.names import OPERATOR_TABLE, TARGET_TABLE
from currantspur.settings import DaemonSettings
from currantspur.shutdown import GracefulShutdown
from currantspur.state_metrics import register_state_metrics
from currantspur.table_followers import add_followers, follow_view
from currantspur.tasks import (
    AdmissionTask,
    Clock,
    Dispatcher,
    FailoverStore,
    FollowerGroup,
    Journal,
    LineSink,
    Membership,
    Registrar,
    RequestForwarder,
    RouteExplainer,
    RowRelay,
    SystemClock,
    Task,
)
from currantspur.tasks.registrar import INSTANCES_TABLE
from currantspur.tracing import open_tracer
from currantspur.wire.heartbeats import JsonInstanceCodec, open_heartbeat_socket
from currantspur.wire.lookup_handler import LookupHandler
from currantspur.wire.metrics import Metrics
from currantspur.wire.relays import HttpRelayClient, RowRelayHandler
from currantspur.wire.request_ends import Handler
from currantspur.wire.request_handler import RequestHandler
from currantspur.wire.route_handler import RouteHandler
from currantspur.wire.server import (
    Server,
    start_guarded_server,
    start_pipelining_server,
)
from currantspur.wire.targets import HttpTargetClient

INCARNATION_BITS = 53


class Daemon:
    """One entry instance with all its tasks, clients and servers.

    Tests can replace the clock and the random generator.
    """

    __slots__ = (
        'admission',
        'background_tasks',
        'client_limits',
        'clock',
        'dispatcher',
        'followers',
        'journal',
        'membership',
        'metrics',
        'random',
        'registrar',
        'request_handler',
        'row_relay',
        'servers',
        'settings',
        'store',
        'target_client',
    )

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        sink: LineSink,
        metrics: Metrics | None = None,
        clock: Clock | None = None,
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.random = random or Random()
        self.metrics = metrics or Metrics()
        self.journal = Journal(sink=sink, clock=self.clock)
        self.store = FailoverStore(
            store=PlatformStore(settings.store, self.metrics),
            relay_client=HttpRelayClient(),
            clock=self.clock,
            journal=self.journal,
        )
        self.row_relay = RowRelay(clock=self.clock)
        self.target_client = HttpTargetClient(
            PLATFORM_NAMES,
            self.metrics,
            self.journal,
            max_idle=bound_idle_connections(settings.max_fds),
        )
        self.admission = AdmissionTask(
            clock=self.clock, instance=settings.instance, journal=self.journal
        )
        self.dispatcher = Dispatcher(
            clock=self.clock,
            topology=Topology(
                availability_zone=settings.availability_zone,
                region_by_zone=settings.regions,
            ),
            limits=settings.limits,
            journal=self.journal,
            instance=settings.instance,
        )
        self.followers = FollowerGroup()
        self.membership = self._create_membership()
        self._create_followers()
        self.registrar = Registrar(
            own=self.membership.membership_table.own_heartbeat.instance,
            store=self.store,
            codec=JsonInstanceCodec(),
            membership=self.membership.mailbox,
            clock=self.clock,
            journal=self.journal,
            random=self.random,
            is_first_start=settings.first_start,
        )
        self.followers.era_listeners.append(self.registrar.record_era)
        self.client_limits = ClientLimits(
            settings,
            admission=self.admission,
            metrics=self.metrics,
            journal=self.journal,
            clock=self.clock,
        )
        self.request_handler = RequestHandler(
            guard=self.client_limits.guard,
            forwarder=self._create_forwarder(),
            clock=self.clock,
            metrics=self.metrics,
            names=PLATFORM_NAMES,
        )
        register_state_metrics(
            self.metrics,
            clock=self.clock,
            admission=self.admission,
            dispatcher=self.dispatcher,
            membership=self.membership,
            followers=self.followers.by_table,
        )
        self.background_tasks = BackgroundTasks()
        self.servers: list[Server] = []

    async def start(self) -> None:
        """Open all servers, then start all tasks.

        Raise ListenError, with all servers closed again, if an address cannot
        be bound.
        """
        try:
            await self._listen()
        except ListenError:
            await self._close()
            raise
        for task in self._list_tasks():
            self.background_tasks.start(task.run())
        self.background_tasks.start(
            self.followers.by_table[INSTANCES_TABLE].run_after(
                self.registrar.run()
            )
        )
        for table in (OPERATOR_TABLE, TARGET_TABLE):
            # In a large fleet a table is read through relays, once these are
            # known from the list.
            self.background_tasks.start(
                self.followers.by_table[table].run_after(
                    self.registrar.wait_for_list()
                )
            )
        self.background_tasks.start(self.registrar.keep_registered())
        self.background_tasks.start(self.client_limits.guard.run())
        self.background_tasks.start(
            self.membership.send_heartbeats(self.random)
        )
        self.journal.note(
            'started',
            availability_zone=self.settings.availability_zone,
            listen=self.settings.listen,
        )

    def is_ready(self) -> bool:
        """Return whether callers may use this instance.

        It needs a configuration and targets, and must not be draining.
        """
        knows_targets = bool(self.dispatcher.target_states)
        has_version = self.admission.state.version > 0
        return (
            has_version
            and knows_targets
            and not self.request_handler.is_draining
        )

    async def drain_and_stop(self) -> None:
        """Shut down gracefully, within the grace time of the settings."""
        shutdown = GracefulShutdown(
            request_handler=self.request_handler,
            membership=self.membership.mailbox,
            clock=self.clock,
            journal=self.journal,
            grace_s=self.settings.limits.grace_s,
        )
        # The first server is the one for callers; see _listen.
        await shutdown.run(self.servers[0], self.registrar.deregister)
        await self._close()

    async def stop_now(self) -> None:
        """Close everything at once; requests in flight are cut."""
        await self._close()

    async def _listen(self) -> None:
        lookup_handler = LookupHandler(
            membership=self.membership.mailbox,
            metrics=self.metrics,
            names=PLATFORM_NAMES,
            is_ready=self.is_ready,
        )
        settings = self.settings
        endpoints: tuple[tuple[Handler, AddressKey], ...] = (
            (lookup_handler.handle, 'directory'),
            (lookup_handler.handle, 'ready'),
            (self._create_route_handler().handle, 'metrics'),
            (self._create_relay_handler().handle, 'peer'),
        )
        self.servers.append(
            await start_pipelining_server(
                self.request_handler,
                self.client_limits.find_address('listen'),
            )
        )
        for handler, key in endpoints:
            self.servers.append(
                await start_guarded_server(
                    handler, self.client_limits.find_address(key)
                )
            )
        # Heartbeats use UDP, row requests TCP, at the same address and port.
        try:
            self.membership.heartbeat_port = await open_heartbeat_socket(
                settings.peer, self.membership.mailbox
            )
        except OSError as error:
            raise ListenError(f'{settings.peer}: {error.strerror}') from error

    async def _close(self) -> None:
        while self.servers:
            await self.servers.pop(0).close()
        await self.background_tasks.stop()
        if self.membership.heartbeat_port is not None:
            self.membership.heartbeat_port.close()
        await self.target_client.close()
        await self.store.close()

    def _list_tasks(self) -> Iterator[Task]:
        yield self.admission
        yield self.dispatcher
        yield self.membership
        yield self.row_relay

    def _create_followers(self) -> None:
        admission, dispatcher = self.admission.mailbox, self.dispatcher.mailbox
        add_followers(
            self.followers,
            {
                OPERATOR_TABLE: (admission, dispatcher),
                TARGET_TABLE: (dispatcher,),
                INSTANCES_TABLE: (self.membership.mailbox,),
            },
            store=self.store,
            row_relay=self.row_relay.mailbox,
            clock=self.clock,
            journal=self.journal,
            random=self.random,
        )

    def _create_route_handler(self) -> RouteHandler:
        forwarder = self.request_handler.forwarder
        return RouteHandler(
            explainer=RouteExplainer(
                admission=self.admission.mailbox,
                dispatcher=self.dispatcher.mailbox,
                get_end=lambda: forwarder.ends_at,
            ),
            clock=self.clock,
            fallback=self.metrics.handle_scrape,
        )

    def _create_relay_handler(self) -> RowRelayHandler:
        return RowRelayHandler(
            self.row_relay.mailbox,
            get_age_s=lambda table: self.followers.measure_age_s(
                table, self.clock.now()
            ),
            get_era=self.followers.get_era,
        )

    def _create_membership(self) -> Membership:
        settings = self.settings
        return Membership(
            own=Instance(
                name=settings.instance,
                availability_zone=settings.availability_zone,
                region=settings.region,
                address=settings.listen,
                peer=settings.peer,
                link_mbps=settings.link_mbps,
            ),
            incarnation=self.random.getrandbits(INCARNATION_BITS),
            clock=self.clock,
            journal=self.journal,
            admission=self.admission.mailbox,
            dispatcher=self.dispatcher.mailbox,
            subscribers=(self.admission.mailbox, self.dispatcher.mailbox),
            get_revisions=self.followers.list_newest_revisions,
            on_peer_revisions=self.followers.check_peer_revisions,
            is_ready=self.is_ready,
            on_view=self._order_sources,
            region_count=len(set(settings.regions.values())),
        )

    def _create_forwarder(self) -> RequestForwarder:
        return RequestForwarder(
            admission=self.admission.mailbox,
            dispatcher=self.dispatcher.mailbox,
            targets=self.target_client,
            clock=self.clock,
            journal=self.journal,
            tracer=open_tracer(self.settings),
        )

    def _order_sources(self, view: FleetView) -> None:
        own = self.membership.membership_table.own_heartbeat.instance
        follow_view(view, own, store=self.store, followers=self.followers)
