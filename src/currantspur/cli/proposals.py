"""Propose changes, and apply what others proposed."""

from functools import partial
from pathlib import Path
from uuid import uuid4

import cyclopts

from currantspur.cli.access import Access
from currantspur.cli.application import app
from currantspur.cli.changes import Sending, send_change
from currantspur.cli.checking import read_proposal
from currantspur.cli.tables import print_table, print_time
from currantspur.wire.admin_client import AdminClient

COLUMNS = ('proposal_id', 'base_version', 'time', 'author', 'note')

proposals = cyclopts.App(name='proposals', help='Propose and review changes.')
app.command(proposals)


@proposals.command(name='add')
def propose(file: Path, *, base: int, access: Access, note: str = '') -> None:
    """Propose a file on top of the version that `diff` named."""
    body = {
        'proposal_id': uuid4().hex,
        'text': read_proposal(file),
        'file': file.name,
        'base_version': base,
        'note': note,
    }
    answer = access.run(
        partial(AdminClient.post, path='/v1/proposals', body=body)
    )
    access.show(answer, f'proposal {answer["proposal_id"]}\n')


@proposals.command(name='list')
def show_proposals(*, access: Access) -> None:
    """List the proposals that wait."""
    answer = access.run(partial(AdminClient.get, path='/v1/proposals'))
    rows = [{**one, 'time': print_time(one['at_s'])} for one in answer]
    access.show(answer, print_table(rows, COLUMNS))


@proposals.command(name='show')
def show_proposal(proposal_id: str, *, access: Access) -> None:
    """Print the text of a proposal."""
    path = f'/v1/proposals/{proposal_id}'
    answer = access.run(partial(AdminClient.get, path=path))
    access.show(answer, answer['text'])


@proposals.command(name='apply')
def apply_proposal(
    proposal_id: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Apply a proposal on its base, in your own name, and remove it."""
    path = f'/v1/proposals/{proposal_id}'
    proposal = access.run(partial(AdminClient.get, path=path))
    sending = sending or Sending(change_id=proposal_id)
    author = proposal['author']
    sending.note = f'proposed by {author}: {sending.note or proposal["note"]}'
    body = {name: proposal[name] for name in ('text', 'base_version')}
    send_change(access, sending, '/v1/changes', body)
    access.run(partial(AdminClient.post, path=f'{path}/drop', body={}))
