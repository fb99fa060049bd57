"""Own what is known of the other instances."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from currantspur.decisions.lookup import answer_lookup
from currantspur.decisions.membership_table import MembershipTable
from currantspur.messages import (
    FleetView,
    Heartbeat,
    Instance,
    LookupQuery,
    LookupResponse,
    Message,
    ServiceLoad,
    ShutdownStarted,
    TeamDemand,
    Tick,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope, Mailbox
from currantspur.tasks.ports import HeartbeatPort
from currantspur.tasks.task import Task

# An instance that dies is out of the answers after four of these.
HEARTBEAT_S = 0.8
# Every so many heartbeats one goes to other regions too.
CROSS_REGION_HEARTBEAT_EVERY = 3
# Other regions hear at once where what a team asks here moved by this many
# requests a second and this share: parts of its rate are computed from it.
DEMAND_CHANGE_PER_S = 4.0
DEMAND_CHANGE_RATIO = 0.2
# Instances that start together do not send together.
JITTER = (0.9, 1.1)


class Membership(Task):
    """Send heartbeats, take those of peers and answer look-ups."""

    __slots__ = (
        'admission',
        'clock',
        'cross_region_demand',
        'dispatcher',
        'get_revisions',
        'handlers',
        'heartbeat_port',
        'is_ready',
        'journal',
        'listed_instances',
        'live_names',
        'membership_table',
        'on_peer_revisions',
        'on_view',
        'sequence_number',
        'subscribers',
    )

    def __init__(
        self,
        *,
        own: Instance,
        incarnation: int,
        clock: Clock,
        journal: Journal,
        admission: Mailbox,
        dispatcher: Mailbox,
        subscribers: Iterable[Mailbox],
        get_revisions: Callable[[], Mapping[str, int]],
        on_peer_revisions: Callable[[Mapping[str, int], float], None],
        is_ready: Callable[[], bool],
        on_view: Callable[[FleetView], None],
    ) -> None:
        """Take a number that grows with each start of the instance."""
        super().__init__()
        self.clock = clock
        self.journal = journal
        self.admission = admission
        self.dispatcher = dispatcher
        self.subscribers = tuple(subscribers)
        self.get_revisions = get_revisions
        self.on_peer_revisions = on_peer_revisions
        self.is_ready = is_ready
        self.on_view = on_view
        self.heartbeat_port: HeartbeatPort | None = None
        self.sequence_number = 0
        # What teams ask of this instance, as other regions heard it last.
        self.cross_region_demand: Mapping[str, float] = {}
        self.listed_instances: tuple[Instance, ...] = ()
        self.live_names: frozenset[str] = frozenset()
        self.membership_table = MembershipTable(
            Heartbeat(instance=own, incarnation=incarnation, sequence_number=0),
            began_at=clock.now(),
        )
        self.handlers: dict[type[Message], Callable[[Any], Any]] = {
            ShutdownStarted: self._leave,
            LookupQuery: self._look_up,
            Heartbeat: self._hear,
            ServiceLoad: self._take_work,
            TeamDemand: self._tell,
            Tick: self._publish,
        }

    def update_listed_instances(self, listed: tuple[Instance, ...]) -> None:
        """Take the store's list of instances."""
        self.listed_instances = listed
        self.membership_table.listed_count = len(listed)
        self._publish()

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Take heartbeats and answer look-ups."""
        for envelope in envelopes:
            envelope.set_reply(self.handle_message(envelope.message))

    def handle_message(self, message: Message) -> Message | None:
        """Apply what a message says and return the answer, if it has one."""
        handle = self.handlers.get(type(message))
        return handle(message) if handle else None

    async def send_heartbeats(self, random: Random) -> None:
        """Send a heartbeat now and then until cancelled."""
        while True:
            work: ServiceLoad = await self.dispatcher.ask(Tick())
            self.mailbox.post(work)
            demand: TeamDemand = await self.admission.ask(Tick())
            self.mailbox.post(demand)
            self.mailbox.post(Tick())
            await self.clock.sleep(HEARTBEAT_S * random.uniform(*JITTER))

    def _hear(self, heartbeat: Heartbeat) -> None:
        now = self.clock.now()
        self.on_peer_revisions(heartbeat.revisions, now)
        if self.membership_table.record_heartbeat(heartbeat, now):
            self._publish()

    def _look_up(self, query: LookupQuery) -> LookupResponse:
        return answer_lookup(
            self.membership_table.build_view(self.clock.now()), query
        )

    def _leave(self, _leaving: ShutdownStarted) -> None:
        self.membership_table.own_heartbeat.is_leaving = True
        self._send()

    def _take_work(self, work: ServiceLoad) -> None:
        self.membership_table.own_heartbeat.busy_slots_by_service = (
            work.busy_slots_by_service
        )

    def _tell(self, demand: TeamDemand) -> None:
        self.membership_table.own_heartbeat.requests_per_s_by_team = (
            demand.requests_per_s_by_team
        )
        self.membership_table.own_heartbeat.is_ready = self.is_ready()
        self._send()

    def _publish(self, _tick: Tick | None = None) -> None:
        self.membership_table.own_heartbeat.is_ready = self.is_ready()
        view = self.membership_table.build_view(self.clock.now())
        self._note_change(view)
        self.on_view(view)
        for reader in self.subscribers:
            reader.post(view)

    def _note_change(self, view: FleetView) -> None:
        shown = frozenset(one.name for one in view.live_instances)
        if shown == self.live_names:
            return
        self.journal.note(
            'members',
            joined=sorted(shown - self.live_names),
            left=sorted(self.live_names - shown),
            live=len(shown),
        )
        self.live_names = shown

    def _send(self) -> None:
        if self.heartbeat_port is None:
            return
        own = self.membership_table.own_heartbeat
        self.sequence_number += 1
        own.sequence_number = self.sequence_number
        own.revisions = self.get_revisions()
        peers = self.membership_table.list_peers(self.listed_instances)
        # All hear at once of an instance that comes or leaves.
        is_due = (
            own.is_leaving
            or self.sequence_number % CROSS_REGION_HEARTBEAT_EVERY == 1
        )
        is_for_all = is_due or has_demand_changed(
            self.cross_region_demand, own.requests_per_s_by_team
        )
        if is_for_all:
            self.cross_region_demand = own.requests_per_s_by_team
        self.heartbeat_port.send(
            own,
            [
                peer.peer
                for peer in peers
                if is_for_all or not self.membership_table.is_cross_region(peer)
            ],
        )


def has_demand_changed(
    before: Mapping[str, float], after: Mapping[str, float]
) -> bool:
    """Tell whether what some team asks moved much, up or down."""
    return any(
        abs(after.get(team, 0.0) - before.get(team, 0.0))
        > max(DEMAND_CHANGE_PER_S, DEMAND_CHANGE_RATIO * before.get(team, 0.0))
        for team in before.keys() | after.keys()
    )
