"""Exchange heartbeats over UDP and encode instances as JSON."""

import asyncio
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, cast

import orjson

from currantspur.errors import MALFORMED_INPUT_ERRORS
from currantspur.messages import Heartbeat, Instance, fields
from currantspur.settings.document import split_address
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.ports import HeartbeatPort, InstanceCodec

# A larger datagram would be sent in IP fragments, each of which may be lost.
MAX_DATAGRAM_BYTES = 1400
RATE_DECIMALS = 1
SLOTS_DECIMALS = 2
# While a datagram is too large, the lowest 1 + count // REMOVAL_DIVISOR rates
# are removed at a time.
REMOVAL_DIVISOR = 16
# Longer messages, which no instance sends, are truncated and so malformed.
MAX_DECOMPRESSED_BYTES = 65_536


class JsonInstanceCodec(InstanceCodec):
    """Encode and decode instances as JSON."""

    __slots__ = ()

    def encode(self, instance: Instance) -> bytes:
        """Return an instance as a JSON object, as it is stored in a row."""
        return orjson.dumps(_instance_to_dict(instance))

    def decode(self, encoded: bytes) -> Instance | None:
        """Return the instance, or None if the bytes are malformed."""
        try:
            return _parse_instance(orjson.loads(encoded))
        except MALFORMED_INPUT_ERRORS:
            return None


class UdpHeartbeats(HeartbeatPort, asyncio.DatagramProtocol):
    """Send and receive heartbeats over UDP.

    Lost datagrams are not sent again: the next heartbeat replaces them.
    """

    __slots__ = ('mailbox', 'malformed_count', 'transport')

    def __init__(self, mailbox: Mailbox) -> None:
        """Post the heartbeats of peers to a mailbox."""
        self.mailbox = mailbox
        self.malformed_count = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for `send` and `close`."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Post a heartbeat to the mailbox; count a malformed datagram."""
        heartbeat = decode_heartbeat(data)
        if heartbeat is None:
            self.malformed_count += 1
        else:
            self.mailbox.post(heartbeat)

    def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to each address without waiting.

        Do nothing before the socket is open and after it is closed.
        """
        if self.transport is None or self.transport.is_closing():
            return
        datagram = encode_heartbeat(heartbeat)
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


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram of compressed JSON.

    Rates below 0.1 requests per second are omitted, and so are the lowest
    rates if the datagram would exceed MAX_DATAGRAM_BYTES.
    """
    rates = {
        team: round(rate, RATE_DECIMALS)
        for team, rate in sorted(
            heartbeat.requests_per_s_by_team.items(),
            key=lambda pair: pair[1],
            reverse=True,
        )
        if rate >= 10**-RATE_DECIMALS
    }
    datagram = _compress(heartbeat, rates)
    while rates and len(datagram) > MAX_DATAGRAM_BYTES:
        for _ in range(1 + len(rates) // REMOVAL_DIVISOR):
            rates.popitem()
        datagram = _compress(heartbeat, rates)
    return datagram


def decode_heartbeat(datagram: bytes) -> Heartbeat | None:
    """Return the heartbeat, or None if the datagram is malformed."""
    try:
        return _parse_heartbeat(orjson.loads(_decompress(datagram)))
    except MALFORMED_INPUT_ERRORS:
        return None


def _decompress(datagram: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(datagram, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError('datagram is not zlib data') from error


def _compress(heartbeat: Heartbeat, rates: Mapping[str, float]) -> bytes:
    encoded = orjson.dumps(
        {
            'instance': _instance_to_dict(heartbeat.instance),
            'life': heartbeat.incarnation,
            'number': heartbeat.sequence_number,
            'leaving': heartbeat.is_leaving,
            'ready': heartbeat.is_ready,
            'demand': rates,
            'revisions': heartbeat.revisions,
            'work': {
                service: round(slots, SLOTS_DECIMALS)
                for service, slots in heartbeat.busy_slots_by_service.items()
            },
        }
    )
    return zlib.compress(encoded)


def _parse_heartbeat(document: Any) -> Heartbeat:
    rates, revisions = document['demand'], document['revisions']
    busy_slots = document['work']
    return Heartbeat(
        instance=_parse_instance(document['instance']),
        incarnation=int(document['life']),
        sequence_number=int(document['number']),
        is_leaving=bool(document['leaving']),
        is_ready=bool(document['ready']),
        requests_per_s_by_team={
            str(team): float(rate) for team, rate in rates.items()
        },
        revisions={
            str(table): int(revision) for table, revision in revisions.items()
        },
        busy_slots_by_service={
            str(service): float(slots) for service, slots in busy_slots.items()
        },
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
        link_mbps=float(document['link_mbps']),
    )
