"""Keep proposals in the table, and their texts as objects."""

import orjson
import xxhash

from currantspur.errors import ConflictError, ObjectMissingError
from currantspur.messages import fields
from currantspur.messages.proposals import Proposal
from currantspur.platform.ports import ABSENT, Platform, Row, Transaction

PROPOSAL_PREFIX = 'proposal/'
PROPOSALS_LIMIT = 100


def name_proposal(proposal_id: str) -> str:
    """Return the key of the row of a proposal."""
    return f'{PROPOSAL_PREFIX}{proposal_id}'


def name_text(text: str) -> str:
    """Return the name of the object that holds a proposed text."""
    return f'proposal/{xxhash.xxh3_128_hexdigest(text.encode())}'


async def keep_proposal(
    platform: Platform, proposal: Proposal, text: str
) -> Proposal:
    """Store a proposal; the same id with the same text again does nothing."""
    key = name_proposal(proposal.proposal_id)
    rows = await platform.table.read([key])
    row = rows.get(key)
    if row is not None:
        return _check_same(decode_proposal(row), proposal)
    known = await list_proposals(platform)
    if len(known) >= PROPOSALS_LIMIT:
        raise ConflictError(f'{PROPOSALS_LIMIT} proposals wait already')
    await platform.object_store.put(proposal.stored_as, text.encode())
    body = orjson.dumps(dict(fields(proposal))).decode()
    await platform.table.commit(
        Transaction(conditions={key: ABSENT}, writes={key: body})
    )
    return proposal


async def list_proposals(platform: Platform) -> list[Proposal]:
    """Return the proposals that wait."""
    rows = await platform.table.scan(PROPOSAL_PREFIX, limit=PROPOSALS_LIMIT)
    return [decode_proposal(row) for row in rows]


async def read_proposal(
    platform: Platform, proposal_id: str
) -> tuple[Proposal, str]:
    """Return a proposal with its text or raise ObjectMissingError."""
    key = name_proposal(proposal_id)
    rows = await platform.table.read([key])
    row = rows.get(key)
    if row is None:
        raise ObjectMissingError(f'proposal {proposal_id}')
    proposal = decode_proposal(row)
    body = await platform.object_store.get(proposal.stored_as)
    return proposal, body.decode()


async def drop_proposal(platform: Platform, proposal_id: str) -> None:
    """Remove a proposal; one that is gone already is no error."""
    key = name_proposal(proposal_id)
    await platform.table.commit(Transaction(conditions={}, writes={key: None}))


def decode_proposal(row: Row) -> Proposal:
    """Return the proposal that a row holds."""
    return Proposal(**orjson.loads(row.text))


def _check_same(known: Proposal, proposal: Proposal) -> Proposal:
    if (known.author, known.stored_as) == (proposal.author, proposal.stored_as):
        return known
    raise ConflictError('the id is taken by another proposal')
