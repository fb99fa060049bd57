"""Keep what the reporters of other availability zones say of their zones."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.decisions.sequence_order import SequenceOrder
from currantspur.messages import Instance, Message, ZoneDigest

# Two instances of a zone send its digest, each on a path of its own, so that
# the loss of one instance leaves no gap.
REPORTERS_PER_ZONE = 2


class DigestRecord(Message):
    """The newest digest of a zone and the time of its arrival."""

    __slots__ = ('digest', 'received_at')

    def __init__(self, digest: ZoneDigest, at: float) -> None:
        self.digest = digest
        self.received_at = at


class ZoneDigestTable:
    """Keep the newest digest of every other zone, whichever reporter sent it.

    Digests count for as long as heartbeats from the same region do.
    """

    __slots__ = ('order_by_reporter', 'own_zone', 'record_by_zone')

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self.record_by_zone: dict[str, DigestRecord] = {}
        self.order_by_reporter: dict[str, SequenceOrder] = {}

    def record(self, digest: ZoneDigest, at: float) -> bool:
        """Record a digest; return False for one of this zone or an old one."""
        if digest.availability_zone == self.own_zone or not self._is_newer(
            digest
        ):
            return False
        self.record_by_zone[digest.availability_zone] = DigestRecord(digest, at)
        return True

    def find(self, availability_zone: str) -> ZoneDigest | None:
        """Return the newest digest of a zone, or None."""
        record = self.record_by_zone.get(availability_zone)
        return None if record is None else record.digest

    def list_since(self, earliest: float) -> Iterator[ZoneDigest]:
        """Yield the digests that arrived at a time or later."""
        for record in self.record_by_zone.values():
            if record.received_at >= earliest:
                yield record.digest

    def forget_before(self, earliest: float) -> None:
        """Drop the digests that arrived before a time."""
        self.record_by_zone = {
            zone: record
            for zone, record in self.record_by_zone.items()
            if record.received_at >= earliest
        }

    def forget_zone_before(
        self, availability_zone: str, earliest: float
    ) -> None:
        """Drop the digest of a zone if it arrived before a time."""
        record = self.record_by_zone.get(availability_zone)
        if record is not None and record.received_at < earliest:
            self.record_by_zone.pop(availability_zone)

    def _is_newer(self, digest: ZoneDigest) -> bool:
        order = self.order_by_reporter.get(digest.reporter)
        if order is not None:
            return order.advance(digest.incarnation, digest.sequence_number)
        self.order_by_reporter[digest.reporter] = SequenceOrder(
            digest.incarnation, digest.sequence_number
        )
        return True


def rank_by_link(instances: Iterable[Instance], key: str) -> list[Instance]:
    """Return instances by the width of their links, widest first.

    What a whole zone or region reads fills a narrow link for seconds. Equal
    links keep the rendezvous order for the key, the same on every instance.
    """
    return sorted(
        instances,
        key=lambda instance: (
            instance.link_mbps,
            rendezvous_weight(key, instance.name),
        ),
        reverse=True,
    )


def list_reporters(instances: Iterable[Instance], zone: str) -> list[Instance]:
    """Return those of a zone's instances that send and receive its digests."""
    return rank_by_link(instances, zone)[:REPORTERS_PER_ZONE]


def pair_reporters(
    own_name: str, reporters: list[Instance], remote_reporters: list[Instance]
) -> list[Instance]:
    """Return the reporters of another zone to which this instance sends.

    Each reporter has a path of its own; a single one uses all.
    """
    if len(reporters) < REPORTERS_PER_ZONE:
        return remote_reporters
    names = [reporter.name for reporter in reporters]
    place = names.index(own_name) if own_name in names else 0
    return remote_reporters[place::REPORTERS_PER_ZONE] or remote_reporters[:1]
