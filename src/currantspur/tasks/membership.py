"""Task that owns the membership of the fleet and sends heartbeats."""

from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from random import Random
from typing import Any

from currantspur.decisions.heartbeat_fanout import (
    is_small_fleet,
    list_digest_recipients,
    list_heartbeat_recipients,
    list_zone_peers,
)
from currantspur.decisions.lookup import answer_lookup
from currantspur.decisions.membership_table import MembershipTable
from currantspur.decisions.zone_summary import build_digest
from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import (
    FleetView,
    Heartbeat,
    Instance,
    ListedInstances,
    LookupQuery,
    LookupResponse,
    Message,
    PeerReports,
    ServiceLoad,
    ShutdownStarted,
    TeamDemand,
    Tick,
    ZoneDigest,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope, Mailbox
from currantspur.tasks.ports import HeartbeatPort
from currantspur.tasks.task import Task

# In its own region a dead instance is left out of look-up responses after four
# intervals.
HEARTBEAT_INTERVAL_S = 0.8
# One of this many heartbeats goes to other regions too.
CROSS_REGION_HEARTBEAT_EVERY = 3
# A change of a team's demand by more than both limits, in requests per second
# and as a ratio, is sent to other regions at once: they compute their shares
# of the team's rate from it.
DEMAND_CHANGE_PER_S = 4.0
DEMAND_CHANGE_RATIO = 0.2
# Factors of the interval: instances that start together must not send together.
JITTER_FACTORS = (0.9, 1.1)


class Membership(Task):
    """Send heartbeats, receive those of peers and answer look-ups.

    The reply to a LookupQuery is a LookupResponse; other messages get None.
    """

    __slots__ = (
        'admission',
        'clock',
        'cross_region_demand',
        'cross_region_digest',
        'digest_number',
        'dispatcher',
        'get_revisions',
        'handlers',
        'heartbeat_port',
        'is_ready',
        'is_used',
        'journal',
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
        on_peer_revisions: Callable[[Mapping[str, int], float, str], None],
        is_ready: Callable[[], bool],
        on_view: Callable[[FleetView], None],
        region_count: int = 1,
    ) -> None:
        """Start without peers; the incarnation differs at each start.

        get_revisions returns the newest row revision by table of this
        instance; on_peer_revisions gets those of a peer, the monotonic seconds
        of their receipt and the address to ask for the rows. on_view is called
        with every fleet view before the subscribers get it.
        """
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
        # No heartbeats are sent while this is None.
        self.heartbeat_port: HeartbeatPort | None = None
        self.sequence_number = 0
        self.digest_number = 0
        # Requests per second by team, as last sent to other regions.
        self.cross_region_demand: Mapping[str, float] = {}
        # The digest as last sent to other regions.
        self.cross_region_digest: ZoneDigest | None = None
        self.live_names: frozenset[str] = frozenset()
        # Whether look-ups return this instance.
        self.is_used = False
        self.membership_table = MembershipTable(
            Heartbeat(instance=own, incarnation=incarnation, sequence_number=0),
            started_at=clock.now(),
            region_count=region_count,
        )
        self.handlers: dict[type[Message], Callable[[Any], Any]] = {
            ShutdownStarted: self._announce_shutdown,
            LookupQuery: self._answer_lookup,
            Heartbeat: self._record_heartbeat,
            ListedInstances: self._update_listed_instances,
            ServiceLoad: self._update_busy_slots,
            TeamDemand: self._update_demand_and_send_heartbeat,
            Tick: self._publish_view,
            ZoneDigest: self._record_digest,
        }

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Handle each message and set its reply."""
        for envelope in envelopes:
            envelope.resolve(self.handle_message)

    def handle_message(self, message: Message) -> Message | None:
        """Apply a message; return the response to a look-up, otherwise None."""
        handler = self.handlers.get(type(message))
        return handler(message) if handler else None

    async def send_heartbeats(self, random: Random) -> None:
        """Send heartbeats at jittered intervals until cancelled.

        Each one carries the load and demand measured just before; none is sent
        while the admission task cannot tell the demand.
        """
        while True:
            for task in (self.dispatcher, self.admission):
                with suppress(MailboxFullError, TaskFailedError):
                    self.mailbox.post(await task.ask(Tick()))
            with suppress(MailboxFullError):
                self.mailbox.post(Tick())
            await self.clock.sleep(
                HEARTBEAT_INTERVAL_S * random.uniform(*JITTER_FACTORS)
            )

    def _update_listed_instances(self, listed: ListedInstances) -> None:
        self.membership_table.listed_instances = listed.instances
        self._publish_view()

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self.clock.now()
        self.on_peer_revisions(
            heartbeat.revisions, now, heartbeat.instance.peer
        )
        post_reports(
            self.dispatcher,
            PeerReports(
                heartbeat.target_reports,
                notices=heartbeat.target_notices,
                source=heartbeat.instance.name,
            ),
        )
        heartbeat.target_reports = ()
        heartbeat.target_notices = ()
        if self.membership_table.record_heartbeat(heartbeat, now):
            self._publish_view()
            if heartbeat.is_leaving:
                self._send_digest()

    def _record_digest(self, digest: ZoneDigest) -> None:
        now = self.clock.now()
        self.on_peer_revisions(digest.revisions, now, digest.reporter_peer)
        if not self.membership_table.zone_digests.record(digest, now):
            return
        post_reports(
            self.dispatcher,
            PeerReports(notices=digest.target_notices, source=digest.reporter),
        )
        if self.heartbeat_port is not None and not digest.is_relayed:
            digest.is_relayed = True
            self.heartbeat_port.send(
                digest,
                [peer.peer for peer in list_zone_peers(self.membership_table)],
            )

    def _answer_lookup(self, query: LookupQuery) -> LookupResponse:
        return answer_lookup(
            self.membership_table.build_view(self.clock.now()), query
        )

    def _announce_shutdown(self, _message: ShutdownStarted) -> None:
        self.membership_table.own_heartbeat.is_leaving = True
        self._send_heartbeat()

    def _update_busy_slots(self, load: ServiceLoad) -> None:
        own = self.membership_table.own_heartbeat
        own.busy_slots_by_service = load.busy_slots_by_service
        own.busy_slots_by_rank = load.busy_slots_by_rank
        own.target_reports = load.target_reports
        own.target_notices = load.target_notices
        own.requests_per_s_by_target = load.requests_per_s_by_target

    def _update_demand_and_send_heartbeat(self, demand: TeamDemand) -> None:
        # The busy slots of this heartbeat were posted before the demand.
        self.membership_table.own_heartbeat.requests_per_s_by_team = (
            demand.requests_per_s_by_team
        )
        self.membership_table.own_heartbeat.is_ready = self.is_ready()
        self._send_heartbeat()

    def _publish_view(self, _tick: Tick | None = None) -> None:
        self.membership_table.own_heartbeat.is_ready = self.is_ready()
        view = self.membership_table.build_view(self.clock.now())
        self._log_member_changes(view)
        self._log_own_use(view)
        self.on_view(view)
        for subscriber in self.subscribers:
            subscriber.post(view)

    def _log_member_changes(self, view: FleetView) -> None:
        names = frozenset(instance.name for instance in view.live_instances)
        if names == self.live_names:
            return
        self.journal.note(
            'members',
            joined=sorted(names - self.live_names),
            left=sorted(self.live_names - names),
            live=len(names),
        )
        self.live_names = names

    def _log_own_use(self, view: FleetView) -> None:
        own = self.membership_table.own_heartbeat.instance
        is_used = own.name in {each.name for each in view.caller_instances}
        if is_used == self.is_used:
            return
        self.is_used = is_used
        self.journal.note(
            'subset',
            is_used=is_used,
            senders=view.sender_count,
            limit_divisor=round(view.limit_divisor, 1),
        )

    def _send_heartbeat(self) -> None:
        if self.heartbeat_port is None:
            return
        own = self.membership_table.own_heartbeat
        self.sequence_number += 1
        own.sequence_number = self.sequence_number
        own.revisions = self.get_revisions()
        # All regions learn at once of an instance that starts or leaves.
        to_all_regions = (
            own.is_leaving
            or is_cross_region_due(self.sequence_number)
            or has_demand_changed(
                self.cross_region_demand, own.requests_per_s_by_team
            )
        )
        if to_all_regions:
            self.cross_region_demand = own.requests_per_s_by_team
        recipients = list_heartbeat_recipients(
            self.membership_table, to_all_regions=to_all_regions
        )
        if is_small_fleet(self.membership_table):
            # Each instance sees enough of the targets by itself.
            own.target_reports = ()
        self.heartbeat_port.send(own, [peer.peer for peer in recipients])
        own.target_reports = ()
        self._send_digest()

    def _send_digest(self) -> None:
        """Send the digest of the own zone, if this instance reports it."""
        if self.heartbeat_port is None:
            return
        now = self.clock.now()
        self.digest_number += 1
        digest = build_digest(
            self.membership_table, now, sequence_number=self.digest_number
        )
        to_all_regions = is_cross_region_due(
            self.sequence_number
        ) or has_zone_changed(self.cross_region_digest, digest)
        recipients = [
            peer.peer
            for peer in list_digest_recipients(
                self.membership_table, now, to_all_regions=to_all_regions
            )
        ]
        if recipients and to_all_regions:
            self.cross_region_digest = digest
        if recipients:
            self.heartbeat_port.send(digest, recipients)


def post_reports(dispatcher: Mailbox, reports: PeerReports) -> None:
    """Post what a peer sent of targets to the dispatcher, if anything."""
    if reports.reports or reports.notices:
        dispatcher.post(reports)


def is_cross_region_due(sequence_number: int) -> bool:
    """Tell whether a regular heartbeat goes to other regions too."""
    return sequence_number % CROSS_REGION_HEARTBEAT_EVERY == 1


def has_zone_changed(before: ZoneDigest | None, after: ZoneDigest) -> bool:
    """Return whether live instances or the demand of a zone changed a lot."""
    if before is None:
        return True
    return before.live_instances != after.live_instances or has_demand_changed(
        before.requests_per_s_by_team, after.requests_per_s_by_team
    )


def has_demand_changed(
    before: Mapping[str, float], after: Mapping[str, float]
) -> bool:
    """Return whether the demand of any team rose or fell by a lot.

    Both mappings hold requests per second by team.
    """
    return any(
        abs(after.get(team, 0.0) - before.get(team, 0.0))
        > max(DEMAND_CHANGE_PER_S, DEMAND_CHANGE_RATIO * before.get(team, 0.0))
        for team in before.keys() | after.keys()
    )
