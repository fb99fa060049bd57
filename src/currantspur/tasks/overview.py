"""Ask every instance which version it runs."""

import asyncio

from currantspur.errors import PeerAwayError
from currantspur.messages import Instance, ProofAnswer, ProofRequest
from currantspur.messages.operators import MemberStatus, Snapshot
from currantspur.tasks.peers import PeerPort

TIMEOUT_S = 1.0
ASKED_AT_ONCE = 32


async def ask_members(
    peers: PeerPort, snapshot: Snapshot, own: Instance
) -> list[MemberStatus]:
    """Return the version of each member; None where it did not answer."""
    limit = asyncio.Semaphore(ASKED_AT_ONCE)
    asked = [
        _ask(peers, member, own, limit)
        for member in snapshot.members
        if member.name != own.name
    ]
    answered = await asyncio.gather(*asked)
    version = snapshot.head.version if snapshot.head else 0
    here = MemberStatus(
        instance=own, version=version, fresh_age_s=snapshot.fresh_age_s
    )
    return sorted((here, *answered), key=_name)


async def _ask(
    peers: PeerPort, member: Instance, own: Instance, limit: asyncio.Semaphore
) -> MemberStatus:
    async with limit:
        try:
            answer = await peers.ask(
                member, ProofRequest(asker=own.name), timeout_s=TIMEOUT_S
            )
        except PeerAwayError:
            return MemberStatus(instance=member)
    if not isinstance(answer, ProofAnswer):
        return MemberStatus(instance=member)
    return MemberStatus(
        instance=member, version=answer.version, fresh_age_s=answer.age_s
    )


def _name(status: MemberStatus) -> str:
    return status.instance.name
