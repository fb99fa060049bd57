"""Encode zone digests as datagrams."""

from typing import Any

from currantspur.encoding import parse_amount, parse_count
from currantspur.messages import Instance, ZoneDigest
from currantspur.wire.datagrams import (
    pack_with_rates,
    parse_amounts,
    parse_revisions,
    round_rates,
    round_slots,
    split_revisions,
)
from currantspur.wire.target_notices import notice_to_dict, parse_notice

# Three IP fragments: 40 instances and 150 teams. The next digest replaces one
# of which a fragment is lost.
MAX_DIGEST_BYTES = 4200
# A digest that counts more instances in its zone is mistaken.
MAX_INSTANCES = 100_000


def encode_digest(digest: ZoneDigest) -> bytes:
    """Return a digest as a datagram of at most MAX_DIGEST_BYTES."""
    document = {
        'zone': digest.availability_zone,
        'region': digest.region,
        'reporter': digest.reporter,
        'peer': digest.reporter_peer,
        'life': digest.incarnation,
        'number': digest.sequence_number,
        'relayed': digest.is_relayed,
        'counted': digest.counted_instances,
        'live': [
            (each.name, each.address, each.peer, each.link_mbps)
            for each in digest.live_instances
        ],
        **split_revisions(digest.revisions),
        'work': round_slots(digest.busy_slots_by_service),
    }
    optional_parts = {
        'ranks': round_slots(digest.busy_slots_by_rank),
        'limited': round_rates(digest.requests_per_s_by_target),
        'signals': [notice_to_dict(each) for each in digest.target_notices],
    }
    return pack_with_rates(
        document,
        digest.requests_per_s_by_team,
        MAX_DIGEST_BYTES,
        optional_parts=optional_parts,
    )


def parse_digest(document: Any) -> ZoneDigest:
    """Return the digest; raise one of MALFORMED_INPUT_ERRORS."""
    zone, region = str(document['zone']), str(document['region'])
    return ZoneDigest(
        availability_zone=zone,
        region=region,
        reporter=str(document['reporter']),
        reporter_peer=str(document['peer']),
        incarnation=parse_count(document['life']),
        sequence_number=parse_count(document['number']),
        is_relayed=bool(document['relayed']),
        counted_instances=parse_count(document['counted'], most=MAX_INSTANCES),
        live_instances=tuple(
            Instance(
                name=str(name),
                availability_zone=zone,
                region=region,
                address=str(address),
                peer=str(peer),
                link_mbps=parse_amount(link_mbps),
            )
            for name, address, peer, link_mbps in document['live']
        ),
        revisions=parse_revisions(document),
        busy_slots_by_service=parse_amounts(document['work']),
        requests_per_s_by_team=parse_amounts(document['demand']),
        # Older builds send none of these.
        busy_slots_by_rank=parse_amounts(document.get('ranks', {})),
        requests_per_s_by_target=parse_amounts(document.get('limited', {})),
        target_notices=tuple(map(parse_notice, document.get('signals', ()))),
    )
