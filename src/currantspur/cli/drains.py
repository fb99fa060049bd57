"""Start, watch, pause and cancel drains."""

from functools import partial
from typing import Literal

import cyclopts

from currantspur.cli.access import Access
from currantspur.cli.application import app
from currantspur.cli.changes import Sending, send_change
from currantspur.cli.tables import print_table
from currantspur.wire.admin_client import AdminClient

DRAIN_COLUMNS = (
    'drain_id',
    'scope',
    'name',
    'state',
    'left',
    'start_s',
    'pace',
)
Scope = Literal['target', 'availability_zone', 'region']

drain = cyclopts.App(name='drain', help='Plan and watch drains.')
app.command(drain)


@drain.command(name='start')
def start_drain(
    drain_id: str,
    *,
    scope: Scope,
    name: str,
    access: Access,
    start_s: float = 0.0,
    pace: float = 1.0,
    sending: Sending | None = None,
) -> None:
    """Plan a drain of a target, availability zone or region."""
    body = {
        'drain_id': drain_id,
        'scope': scope,
        'name': name,
        'start_s': start_s,
        'pace': pace,
    }
    send_change(access, sending, '/v1/drains', body)


@drain.command(name='status')
def show_drains(*, access: Access) -> None:
    """List the drains and how far they are."""
    answer = access.run(partial(AdminClient.get, path='/v1/drains'))
    access.show(answer, print_table(answer, DRAIN_COLUMNS))


@drain.command(name='pause')
def pause_drain(
    drain_id: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Pause a drain."""
    send_change(access, sending, f'/v1/drains/{drain_id}/pause', {})


@drain.command(name='resume')
def resume_drain(
    drain_id: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Let a paused drain go on."""
    send_change(access, sending, f'/v1/drains/{drain_id}/resume', {})


@drain.command(name='cancel')
def cancel_drain(
    drain_id: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Cancel a drain; what it covers takes new work again."""
    send_change(access, sending, f'/v1/drains/{drain_id}/cancel', {})
