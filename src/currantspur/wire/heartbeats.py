"""Exchange heartbeats and zone digests over UDP."""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Any, cast

import orjson

from currantspur.encoding import parse_amount, parse_count
from currantspur.errors import MALFORMED_INPUT_ERRORS
from currantspur.messages import (
    Heartbeat,
    Instance,
    TargetReport,
    ZoneDigest,
    fields,
)
from currantspur.pipelines.instance_rows import InstanceCodec
from currantspur.settings.document import is_address, split_address
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.ports import HeartbeatPort
from currantspur.wire.datagrams import (
    pack_with_rates,
    parse_amounts,
    parse_revisions,
    round_rates,
    round_slots,
    split_revisions,
    unpack,
)
from currantspur.wire.target_notices import notice_to_dict, parse_notice
from currantspur.wire.zone_digests import encode_digest, parse_digest

# A larger datagram would be sent in IP fragments, each of which may be lost.
MAX_DATAGRAM_BYTES = 1400
# A target that reports more requests is mistaken.
MAX_IN_FLIGHT = 10_000_000


class JsonInstanceCodec(InstanceCodec):
    """Encode and decode instances as JSON."""

    __slots__ = ()

    def encode(self, instance: Instance) -> bytes:
        """Return an instance as a JSON object, as it is stored in a row."""
        return orjson.dumps(_instance_to_dict(instance))

    def decode(self, encoded: bytes) -> Instance | None:
        """Return the instance, or None if the bytes are malformed."""
        try:
            instance = _parse_instance(orjson.loads(encoded))
        except MALFORMED_INPUT_ERRORS:
            return None
        is_reachable = is_address(instance.address) and is_address(
            instance.peer
        )
        return instance if is_reachable else None


class UdpHeartbeats(HeartbeatPort, asyncio.DatagramProtocol):
    """Send and receive heartbeats over UDP.

    Lost datagrams are not sent again: the next heartbeat replaces them.
    """

    __slots__ = ('mailbox', 'malformed_count', 'transport')

    def __init__(self, mailbox: Mailbox) -> None:
        """Post the heartbeats and digests of peers to a mailbox."""
        self.mailbox = mailbox
        self.malformed_count = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for `send` and `close`."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Post a message to the mailbox; count a malformed datagram."""
        message = decode_datagram(data)
        if message is None:
            self.malformed_count += 1
        else:
            self.mailbox.post(message)

    def send(
        self, message: Heartbeat | ZoneDigest, addresses: Iterable[str]
    ) -> None:
        """Send a message to each address without waiting.

        Do nothing before the socket is open and after it is closed.
        """
        if self.transport is None or self.transport.is_closing():
            return
        datagram = encode_datagram(message)
        for address in addresses:
            self.transport.sendto(datagram, split_address(address))

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self.transport is not None:
            self.transport.close()


async def open_heartbeat_socket(
    address: str, mailbox: Mailbox
) -> UdpHeartbeats:
    """Bind to an IP address and port; raise OSError if it is in use."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpHeartbeats(mailbox), local_addr=split_address(address)
    )
    return protocol


def encode_datagram(message: Heartbeat | ZoneDigest) -> bytes:
    """Return a heartbeat or a zone digest as a datagram."""
    if isinstance(message, ZoneDigest):
        return encode_digest(message)
    return encode_heartbeat(message)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram of at most MAX_DATAGRAM_BYTES."""
    document = {
        'instance': _instance_to_dict(heartbeat.instance),
        'life': heartbeat.incarnation,
        'number': heartbeat.sequence_number,
        'leaving': heartbeat.is_leaving,
        'ready': heartbeat.is_ready,
        **split_revisions(heartbeat.revisions),
        'work': round_slots(heartbeat.busy_slots_by_service),
        'digests': heartbeat.reads_digests,
    }
    rates = heartbeat.requests_per_s_by_team
    # The first ones matter most, where not all fit.
    optional_parts = {
        'ranks': round_slots(heartbeat.busy_slots_by_rank),
        'limited': round_rates(heartbeat.requests_per_s_by_target),
        'signals': [notice_to_dict(each) for each in heartbeat.target_notices],
        'targets': [
            (report.target, report.object_key, report.in_flight)
            for report in heartbeat.target_reports
        ],
    }
    return pack_with_rates(
        document, rates, MAX_DATAGRAM_BYTES, optional_parts=optional_parts
    )


def decode_datagram(datagram: bytes) -> Heartbeat | ZoneDigest | None:
    """Return the message of a datagram, or None if it is malformed."""
    try:
        document = unpack(datagram)
        if 'reporter' in document:
            return parse_digest(document)
        return _parse_heartbeat(document)
    except MALFORMED_INPUT_ERRORS:
        return None


def _parse_heartbeat(document: Any) -> Heartbeat:
    return Heartbeat(
        instance=_parse_instance(document['instance']),
        incarnation=parse_count(document['life']),
        sequence_number=parse_count(document['number']),
        is_leaving=bool(document['leaving']),
        is_ready=bool(document['ready']),
        requests_per_s_by_team=parse_amounts(document['demand']),
        revisions=parse_revisions(document),
        busy_slots_by_service=parse_amounts(document['work']),
        # Builds without digests do not have the field.
        reads_digests=bool(document.get('digests', False)),
        target_reports=tuple(_parse_reports(document.get('targets', ()))),
        # Older builds send none.
        target_notices=tuple(map(parse_notice, document.get('signals', ()))),
        requests_per_s_by_target=parse_amounts(document.get('limited', {})),
        busy_slots_by_rank=parse_amounts(document.get('ranks', {})),
    )


def _parse_reports(document: Any) -> Iterator[TargetReport]:
    for target, object_key, in_flight in document:
        yield TargetReport(
            target=str(target),
            object_key=None if object_key is None else str(object_key),
            in_flight=parse_count(in_flight, most=MAX_IN_FLIGHT),
        )


def _instance_to_dict(instance: Instance) -> dict[str, Any]:
    return dict(fields(instance))


def _parse_instance(document: Any) -> Instance:
    return Instance(
        name=str(document['name']),
        availability_zone=str(document['availability_zone']),
        region=str(document['region']),
        address=str(document['address']),
        peer=str(document['peer']),
        link_mbps=parse_amount(document['link_mbps']),
    )
