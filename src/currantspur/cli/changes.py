"""Change what is in force."""

import sys
from functools import partial
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

from cyclopts import Parameter

from currantspur.cli.access import EXIT_LAGGING, Access
from currantspur.cli.application import app
from currantspur.cli.checking import read_proposal
from currantspur.cli.waiting import WAIT_S, wait_until_in_force
from currantspur.wire.admin_client import AdminClient


@Parameter(name='*')
class Sending:
    """Hold the options of a change."""

    __slots__ = ('change_id', 'note', 'wait', 'wait_s')

    def __init__(
        self,
        *,
        change_id: str = '',
        note: str = '',
        wait: Annotated[bool, Parameter(negative='')] = False,
        wait_s: float = WAIT_S,
    ) -> None:
        """Take what is recorded with the change, and whether to wait.

        Parameters
        ----------
        change_id
            Id of the change; the same id again does nothing more.
        note
            Text kept with the change.
        wait
            Wait until the change is in force on every live instance.
        wait_s
            Longest wait in seconds.

        """
        self.change_id = change_id or uuid4().hex
        self.note = note
        self.wait = wait
        self.wait_s = wait_s


@app.command
def apply(
    file: Path, *, base: int, access: Access, sending: Sending | None = None
) -> None:
    """Apply a file on top of the version that `diff` named."""
    body = {
        'text': read_proposal(file),
        'file': file.name,
        'base_version': base,
    }
    send_change(access, sending, '/v1/changes', body)


@app.command
def restore(
    version: int, *, base: int, access: Access, sending: Sending | None = None
) -> None:
    """Apply the content of an older version as a new one."""
    body = {'version': version, 'base_version': base}
    send_change(access, sending, '/v1/restore', body)


def send_change(
    access: Access,
    sending: Sending | None,
    path: str,
    body: dict[str, Any],
    *,
    secret: str = '',
) -> None:
    """Send a change, print what came of it, and wait if that is asked."""
    sending = sending or Sending()
    whole = {**body, 'change_id': sending.change_id, 'note': sending.note}
    sys.stderr.write(f'change {sending.change_id}\n')
    head = access.run(partial(_post, path=path, body=whole))
    shown = {**head, 'secret': secret} if secret else head
    text = f'version {head["version"]} by {head["author"]}\n'
    access.show(shown, f'{text}{secret}\n' if secret else text)
    if sending.wait:
        _wait(access, head['version'], sending.wait_s)


def _wait(access: Access, version: int, wait_s: float) -> None:
    lagging = access.run(
        partial(wait_until_in_force, version=version, wait_s=wait_s)
    )
    if lagging:
        sys.exit(EXIT_LAGGING)


async def _post(client: AdminClient, *, path: str, body: dict[str, Any]) -> Any:
    return await client.post(path, body)
