"""Issue and withdraw keys; a secret is made here and shown once."""

import sys
from typing import Any

import cyclopts

from currantspur.cli.access import Access
from currantspur.cli.application import app
from currantspur.cli.changes import Sending, send_change
from currantspur.decisions.identity import mint_key
from currantspur.decisions.operators import mint_operator_key
from currantspur.messages import Role

keys = cyclopts.App(name='keys', help='Issue and withdraw keys of teams.')
operators = cyclopts.App(name='operators', help='Issue keys of operators.')
app.command(keys)
app.command(operators)


@keys.command(name='issue')
def issue_key(
    team: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Issue a key; the team's other keys go on working."""
    secret, kept = mint_key(team)
    body = {'team': team, 'key_id': kept.key_id, 'digest': kept.digest}
    send_change(access, sending, '/v1/keys', body, secret=secret)


@keys.command(name='withdraw')
def withdraw_key(
    key_id: str, *, access: Access, sending: Sending | None = None
) -> None:
    """Withdraw the key of a team or of an operator."""
    send_change(access, sending, f'/v1/keys/{key_id}/withdraw', {})


@operators.command(name='issue')
def issue_operator_key(
    name: str,
    *,
    role: Role,
    access: Access,
    sending: Sending | None = None,
) -> None:
    """Issue a key of an operator; earlier keys go on working."""
    secret, kept = mint_operator_key(name, role)
    body: dict[str, Any] = {
        'name': name,
        'role': role,
        'key_id': kept.key_id,
        'digest': kept.digest,
    }
    send_change(access, sending, '/v1/operators', body, secret=secret)


@operators.command(name='mint')
def mint_first_key(name: str, *, role: Role = 'change') -> None:
    """Make an operator key for the daemon settings; no instance is asked."""
    secret, kept = mint_operator_key(name, role)
    sys.stderr.write(f'{secret}\n')
    sys.stdout.write(
        f'operators:\n- name: {kept.name}\n  role: {kept.role}\n'
        f"  key_id: '{kept.key_id}'\n  digest: '{kept.digest}'\n"
    )
