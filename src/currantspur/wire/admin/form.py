"""Read the JSON bodies of operators' requests."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final, Literal

import orjson

from currantspur.errors import RejectedError
from currantspur.messages import Message
from currantspur.messages.operators import Rejection
from currantspur.settings import Finding

FieldKind = Literal['text', 'whole', 'number', 'flag']
NAME_LIMIT = 128
TEXT_LIMIT = 67_108_864
WHOLE_LIMIT = 1_000_000_000_000
BODY_FILE = 'body'
KINDS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'text': (str,),
        'whole': (int,),
        'number': (int, float),
        'flag': (bool,),
    }
)


class Field(Message):
    """Describe one member of a body."""

    __slots__ = ('default', 'kind', 'limit', 'name')

    def __init__(
        self,
        name: str,
        kind: FieldKind = 'text',
        *,
        default: Any = None,
        limit: int = NAME_LIMIT,
    ) -> None:
        """Take what stands for a missing member; None: it must be there."""
        self.name = name
        self.kind = kind
        self.default = default
        self.limit = limit


class Form:
    """Give typed access to a body that was checked."""

    __slots__ = ('members',)

    def __init__(self, members: dict[str, Any]) -> None:
        self.members = members

    def text(self, name: str) -> str:
        """Return a text."""
        return str(self.members[name])

    def whole(self, name: str) -> int:
        """Return a whole number."""
        return int(self.members[name])

    def number(self, name: str) -> float:
        """Return a number."""
        return float(self.members[name])


def read_form(body: bytes, expected: Iterable[Field]) -> Form:
    """Check a body; raise RejectedError with every finding."""
    plain = _parse(body)
    by_name = {one.name: one for one in expected}
    findings = [
        _blame(name, 'unknown name') for name in plain if name not in by_name
    ]
    members: dict[str, Any] = {}
    for field in by_name.values():
        members[field.name] = plain.get(field.name, field.default)
        problem = check_member(field, members[field.name])
        if problem is not None:
            findings.append(_blame(field.name, problem))
    if findings:
        raise RejectedError(malformed('the body has findings', findings))
    return Form(members)


def check_member(field: Field, member: Any) -> str | None:
    """Return what is wrong with a member of a body, if anything is."""
    if member is None:
        return 'missing'
    is_flag = isinstance(member, bool)
    if is_flag != (field.kind == 'flag'):
        return f'expected a {field.kind}'
    if not isinstance(member, KINDS[field.kind]):
        return f'expected a {field.kind}'
    if isinstance(member, str):
        return _check_text(field, member)
    return _check_number(float(member))


def malformed(detail: str, findings: Iterable[Finding] = ()) -> Rejection:
    """Return the rejection of a request that cannot be read."""
    return Rejection(code='malformed', detail=detail, findings=tuple(findings))


def _check_number(number: float) -> str | None:
    if math.isfinite(number) and 0 <= number <= WHOLE_LIMIT:
        return None
    return f'expected a number from 0 to {WHOLE_LIMIT}'


def _check_text(field: Field, text: str) -> str | None:
    if len(text) > field.limit:
        return f'longer than {field.limit}'
    if field.limit == NAME_LIMIT and not text.isprintable():
        return 'expected printable characters'
    if not text and field.default is None:
        return 'empty'
    return None


def _parse(body: bytes) -> dict[str, Any]:
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        finding = Finding(
            file=BODY_FILE,
            line=error.lineno,
            column=error.colno,
            path='',
            text=f'not JSON: {error.msg}',
        )
        raise RejectedError(malformed('not JSON', [finding])) from error
    if not isinstance(plain, dict):
        raise RejectedError(malformed('expected names with values'))
    return plain


def _blame(path: str, text: str) -> Finding:
    return Finding(file=BODY_FILE, line=1, column=1, path=path, text=text)
