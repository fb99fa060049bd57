"""Take proposals in, and show them to who may apply them."""

import time
from typing import Any

from aiohttp import web

from currantspur.errors import ConflictError, RejectedError
from currantspur.messages.operators import Rejection
from currantspur.messages.proposals import Proposal
from currantspur.platform.proposals import (
    drop_proposal,
    keep_proposal,
    list_proposals,
    name_text,
    read_proposal,
)
from currantspur.settings import to_plain
from currantspur.wire.admin.access import OPERATOR
from currantspur.wire.admin.encoding import encode_json
from currantspur.wire.admin.form import Field, read_form
from currantspur.wire.admin.queries import FILE, TEXT, read_text
from currantspur.wire.admin.route import AdminRoute
from currantspur.wire.admin.services import AdminServices

PROPOSE = (
    Field('proposal_id'),
    Field('note', default=''),
    Field('base_version', 'whole'),
    TEXT,
    FILE,
)


class Proposals:
    """Answer the routes of proposals."""

    __slots__ = ('services',)

    def __init__(self, services: AdminServices) -> None:
        self.services = services

    def routes(self) -> list[AdminRoute]:
        """List the routes."""
        return [
            AdminRoute(
                'GET',
                '/v1/proposals',
                self.list,
                summary='Proposals that wait.',
            ),
            AdminRoute(
                'GET',
                '/v1/proposals/{proposal_id}',
                self.show,
                summary='A proposal with its text.',
            ),
            AdminRoute(
                'POST',
                '/v1/proposals',
                self.propose,
                summary='Propose a text; whoever may change can apply it.',
                form=PROPOSE,
            ),
            AdminRoute(
                'POST',
                '/v1/proposals/{proposal_id}/drop',
                self.drop,
                summary='Remove a proposal.',
                role='change',
            ),
        ]

    async def list(self, _request: web.Request) -> web.Response:
        """List the proposals."""
        known = await list_proposals(self.services.platform)
        return encode_json([encode_proposal(one) for one in known])

    async def show(self, request: web.Request) -> web.Response:
        """Show a proposal with its text."""
        proposal_id = request.match_info['proposal_id']
        proposal, text = await read_proposal(
            self.services.platform, proposal_id
        )
        return encode_json({**encode_proposal(proposal), 'text': text})

    async def propose(self, request: web.Request) -> web.Response:
        """Check a text and keep it."""
        form = read_form(await request.read(), PROPOSE)
        read_text(form)
        text = form.text('text')
        operator = request[OPERATOR]
        proposal = Proposal(
            proposal_id=form.text('proposal_id'),
            author=operator.name,
            base_version=form.whole('base_version'),
            stored_as=name_text(text),
            note=form.text('note'),
            at_s=time.time(),
        )
        try:
            kept = await keep_proposal(self.services.platform, proposal, text)
        except ConflictError as error:
            raise RejectedError(
                Rejection(
                    code='conflict', detail=str(error), author=operator.name
                )
            ) from error
        return encode_json(encode_proposal(kept))

    async def drop(self, request: web.Request) -> web.Response:
        """Remove a proposal."""
        proposal_id = request.match_info['proposal_id']
        await drop_proposal(self.services.platform, proposal_id)
        return encode_json({'proposal_id': proposal_id})


def encode_proposal(proposal: Proposal) -> dict[str, Any]:
    """Return the documented JSON form of a proposal."""
    plain: dict[str, Any] = to_plain(proposal)
    plain.pop('stored_as')
    return plain
