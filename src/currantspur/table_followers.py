"""Assembly of the followers of the store's tables, and their sources."""

from collections.abc import Mapping
from random import Random

from currantspur.decisions.table_sources import (
    STORE_SOURCE,
    count_relays,
    has_relays,
    order_sources,
)
from currantspur.messages import FleetView, Instance, Message, TableSnapshot
from currantspur.pipelines.filter import Filter
from currantspur.pipelines.instance_rows import InstanceRowDecoder
from currantspur.platform import OperatorRowDecoder, TargetRowDecoder
from currantspur.platform.names import OPERATOR_TABLE, TARGET_TABLE
from currantspur.tasks import (
    Clock,
    FailoverStore,
    FollowerGroup,
    Journal,
    Mailbox,
    TableFollower,
)
from currantspur.tasks.registrar import INSTANCES_TABLE
from currantspur.tasks.table_follower import LONG_POLL_S
from currantspur.wire.heartbeats import JsonInstanceCodec

# Heartbeats tell of instances sooner than their table: it is polled less often.
INSTANCES_LONG_POLL_S = 10.0


def make_decoders() -> dict[str, Filter[TableSnapshot, Message]]:
    """Return the decoder of each table."""
    return {
        OPERATOR_TABLE: OperatorRowDecoder(),
        TARGET_TABLE: TargetRowDecoder(),
        INSTANCES_TABLE: InstanceRowDecoder(JsonInstanceCodec()),
    }


def add_followers(
    group: FollowerGroup,
    subscribers_by_table: Mapping[str, tuple[Mailbox, ...]],
    *,
    store: FailoverStore,
    row_relay: Mailbox,
    clock: Clock,
    journal: Journal,
    random: Random,
) -> None:
    """Add a follower of each table, unstarted, to a group."""
    for table, decoder in make_decoders().items():
        group.add(
            TableFollower(
                table=table,
                store=store,
                decoder=decoder,
                subscribers=subscribers_by_table[table],
                row_relay=row_relay,
                clock=clock,
                journal=journal,
                random=random,
                on_era=group.record_era,
                on_recovery=group.poll_again,
                direct_long_poll_s=(
                    INSTANCES_LONG_POLL_S
                    if table == INSTANCES_TABLE
                    else LONG_POLL_S
                ),
            )
        )


def follow_view(
    view: FleetView,
    own: Instance,
    *,
    store: FailoverStore,
    followers: FollowerGroup,
) -> None:
    """Read tables from the sources that a new view of the fleet gives."""
    sources = order_sources(view, own)
    store.source_order = sources
    store.row_ages.set_relay_count(count_relays(view, own))
    followers.follow_relays(
        is_relayed=sources[0] != STORE_SOURCE, has_readers=has_relays(view)
    )
