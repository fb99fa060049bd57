"""Send heartbeats to peers in datagrams and encode entries of instances."""

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

# A larger datagram would be cut into pieces, each of which may be lost.
MAX_DATAGRAM_BYTES = 1400
DEMAND_DIGITS = 1
WORK_DIGITS = 2
# Of demands that are too many for a datagram this part is left out at a time.
LEFT_OUT_PARTS = 16
# A longer message is none of ours.
MAX_DECOMPRESSED_BYTES = 65_536


class JsonInstanceCodec(InstanceCodec):
    """Write entries of instances as JSON."""

    __slots__ = ()

    def encode(self, instance: Instance) -> bytes:
        """Return the bytes of an entry."""
        return orjson.dumps(_list_fields(instance))

    def decode(self, encoded: bytes) -> Instance | None:
        """Return an entry, or None for bytes that are none."""
        try:
            return _read_instance(orjson.loads(encoded))
        except MALFORMED_INPUT_ERRORS:
            return None


class UdpHeartbeats(HeartbeatPort, asyncio.DatagramProtocol):
    """Exchange heartbeats over UDP; a lost one is followed by another."""

    __slots__ = ('mailbox', 'malformed', 'transport')

    def __init__(self, mailbox: Mailbox) -> None:
        """Take where heartbeats of peers go."""
        self.mailbox = mailbox
        self.malformed = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket to send by."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a heartbeat on; count what is none."""
        heartbeat = decode_heartbeat(data)
        if heartbeat is None:
            self.malformed += 1
        else:
            self.mailbox.post(heartbeat)

    def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to each address; a lost one is not repeated."""
        if self.transport is None or self.transport.is_closing():
            return
        datagram = encode_heartbeat(heartbeat)
        for address in addresses:
            self.transport.sendto(datagram, split_address(address))

    def close(self) -> None:
        """Stop sending and receiving."""
        if self.transport is not None:
            self.transport.close()


async def open_datagrams(address: str, mailbox: Mailbox) -> UdpHeartbeats:
    """Bind to an IP number and port; raise OSError if it is in use."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpHeartbeats(mailbox), local_addr=split_address(address)
    )
    return protocol


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a datagram; the smallest demands are left out of a full one."""
    demand = {
        team: round(rate, DEMAND_DIGITS)
        for team, rate in sorted(
            heartbeat.requests_per_s_by_team.items(),
            key=lambda pair: pair[1],
            reverse=True,
        )
        if rate >= 10**-DEMAND_DIGITS
    }
    datagram = _dump(heartbeat, demand)
    while demand and len(datagram) > MAX_DATAGRAM_BYTES:
        for _ in range(1 + len(demand) // LEFT_OUT_PARTS):
            demand.popitem()
        datagram = _dump(heartbeat, demand)
    return datagram


def decode_heartbeat(datagram: bytes) -> Heartbeat | None:
    """Return a heartbeat, or None for bytes that are none."""
    try:
        return _read_heartbeat(orjson.loads(_unpack(datagram)))
    except MALFORMED_INPUT_ERRORS:
        return None


def _unpack(datagram: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(datagram, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError('not packed') from error


def _dump(heartbeat: Heartbeat, demand: Mapping[str, float]) -> bytes:
    plain = orjson.dumps(
        {
            'instance': _list_fields(heartbeat.instance),
            'life': heartbeat.incarnation,
            'number': heartbeat.sequence_number,
            'leaving': heartbeat.is_leaving,
            'ready': heartbeat.is_ready,
            'demand': demand,
            'revisions': heartbeat.revisions,
            'work': {
                service: round(slots, WORK_DIGITS)
                for service, slots in heartbeat.busy_slots_by_service.items()
            },
        }
    )
    return zlib.compress(plain)


def _read_heartbeat(plain: Any) -> Heartbeat:
    demand, revisions = plain['demand'], plain['revisions']
    work = plain['work']
    return Heartbeat(
        instance=_read_instance(plain['instance']),
        incarnation=int(plain['life']),
        sequence_number=int(plain['number']),
        is_leaving=bool(plain['leaving']),
        is_ready=bool(plain['ready']),
        requests_per_s_by_team={
            str(key): float(rate) for key, rate in demand.items()
        },
        revisions={str(key): int(one) for key, one in revisions.items()},
        busy_slots_by_service={
            str(key): float(slots) for key, slots in work.items()
        },
    )


def _list_fields(instance: Instance) -> dict[str, Any]:
    return dict(fields(instance))


def _read_instance(plain: Any) -> Instance:
    return Instance(
        name=str(plain['name']),
        availability_zone=str(plain['availability_zone']),
        region=str(plain['region']),
        address=str(plain['address']),
        peer=str(plain['peer']),
        link_mbps=float(plain['link_mbps']),
    )
