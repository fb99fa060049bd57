"""Take the options that every command for operators shares."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import orjson
from cyclopts import Parameter

from currantspur.cli.application import EXIT_FAILED, EXIT_FINDINGS
from currantspur.wire.admin_client import AdminClient, AdminError

EXIT_CONFLICT = 3
EXIT_REFUSED = 4
EXIT_UNKNOWN = 5
EXIT_LAGGING = 6
EXIT_BY_CODE = (
    ('findings', EXIT_FINDINGS),
    ('malformed', EXIT_FINDINGS),
    ('conflict', EXIT_CONFLICT),
    ('unauthorised', EXIT_REFUSED),
    ('forbidden', EXIT_REFUSED),
    ('outcome_unknown', EXIT_UNKNOWN),
)
Work = Callable[[AdminClient], Awaitable[Any]]


@Parameter(name='*')
class Access:
    """Hold the address of an instance, the operator's key and the form."""

    __slots__ = ('admin', 'json', 'operator_key')

    def __init__(
        self,
        *,
        admin: Annotated[str, Parameter(env_var='CURRANTSPUR_ADMIN')],
        operator_key: Annotated[
            str,
            Parameter(env_var='CURRANTSPUR_OPERATOR_KEY', show_default=False),
        ],
        json: bool = False,
    ) -> None:
        """Take the admin address of any instance and an operator key.

        Parameters
        ----------
        admin
            Admin address of any instance, as IP number and port.
        operator_key
            Operator key; better given by the environment.
        json
            Print the answer as JSON.

        """
        self.admin = admin
        self.operator_key = operator_key
        self.json = json

    def run(self, work: Work) -> Any:
        """Return what the work with a client gives; exit where it fails."""
        try:
            return asyncio.run(self._work(work))
        except AdminError as error:
            self.fail(error)

    def show(self, plain: Any, text: str) -> None:
        """Print an answer as JSON for programs or as text for people."""
        if self.json:
            sys.stdout.write(f'{orjson.dumps(plain).decode()}\n')
        else:
            sys.stdout.write(text)

    def fail(self, error: AdminError) -> None:
        """Print a rejection and exit with its code."""
        if self.json:
            sys.stdout.write(f'{orjson.dumps(error.answer).decode()}\n')
        else:
            sys.stderr.write(describe_failure(error))
        sys.exit(dict(EXIT_BY_CODE).get(error.code, EXIT_FAILED))

    async def _work(self, work: Work) -> Any:
        async with AdminClient(self.admin, key=self.operator_key) as client:
            return await work(client)


def describe_failure(error: AdminError) -> str:
    """Return a rejection as lines for people."""
    lines = [str(error)]
    answer = error.answer
    if error.code == 'conflict':
        lines.append(
            f'newest version {answer.get("version")}'
            f' by {answer.get("other_author")}'
            f', this change by {answer.get("author")}'
        )
    lines.extend(
        f'{one["file"]}:{one["line"]}:{one["column"]}:'
        f' {one["path"] or "."}: {one["text"]}'
        for one in answer.get('findings', ())
    )
    return ''.join(f'{line}\n' for line in lines)
