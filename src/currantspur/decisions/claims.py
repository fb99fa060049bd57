"""Decide who may run a non-idempotent request, and until when."""

import re
from collections.abc import Iterator
from datetime import UTC, date, datetime, timedelta
from hashlib import blake2b
from typing import Literal

from currantspur.messages import Message, StoredAnswer

DIGEST_BYTES = 16
ROW_ANSWER_LIMIT_BYTES = 4_096
ANSWER_LIMIT_BYTES = 1_048_576
ACCEPTED_DAYS = 7
KEPT_DAYS = 9
SWEPT_DAYS = 14
DATED_KEY = re.compile(r'(\d{4}-\d{2}-\d{2})[/:._-].+')
PREFIX = 'claim'
UNDATED = 'undated'

State = Literal['taken', 'not_run', 'answered']
Verdict = Literal['ours', 'free', 'answered', 'unknown', 'other_request']


class ClaimRow(Message):
    """Hold what the row of a claim says."""

    __slots__ = ('answer', 'attempt_id', 'fingerprint', 'object_name', 'state')

    def __init__(
        self,
        *,
        attempt_id: str,
        fingerprint: str,
        state: State = 'taken',
        answer: StoredAnswer | None = None,
        object_name: str | None = None,
    ) -> None:
        """Take the answer, or the object that holds a larger one."""
        self.attempt_id = attempt_id
        self.fingerprint = fingerprint
        self.state = state
        self.answer = answer
        self.object_name = object_name


def judge_claim(
    found: ClaimRow, *, attempt_id: str, fingerprint: str
) -> Verdict:
    """Say what a row that is already there means for an attempt."""
    if found.attempt_id == attempt_id and found.state == 'taken':
        return 'ours'
    if found.fingerprint != fingerprint:
        return 'other_request'
    if found.state == 'not_run':
        return 'free'
    has_answer = found.answer is not None or found.object_name is not None
    return 'answered' if has_answer else 'unknown'


def name_claim(team: str, idempotency_key: str) -> str:
    """Return the name of a claim's row; those of one day stand together."""
    day = read_day(idempotency_key)
    bucket = day.isoformat() if day else UNDATED
    digest = blake2b(idempotency_key.encode(), digest_size=DIGEST_BYTES)
    return f'{PREFIX}/{bucket}/{team}/{digest.hexdigest()}'


def fingerprint_request(method: str, path: str) -> str:
    """Return what tells two requests with one idempotency key apart."""
    line = f'{method} {path}'.encode()
    return blake2b(line, digest_size=DIGEST_BYTES).hexdigest()


def read_day(idempotency_key: str) -> date | None:
    """Return the day that a dated key begins with."""
    matched = DATED_KEY.fullmatch(idempotency_key)
    if matched is None:
        return None
    try:
        return date.fromisoformat(matched.group(1))
    except ValueError:
        return None


def is_acceptable(idempotency_key: str, unix_s: float) -> bool:
    """Tell whether the claim of a key cannot have been deleted yet."""
    day = read_day(idempotency_key)
    if day is None:
        return True
    today = _find_today(unix_s)
    oldest = today - timedelta(days=ACCEPTED_DAYS)
    return oldest <= day <= today + timedelta(days=1)


def name_expired(unix_s: float) -> Iterator[str]:
    """Yield the prefixes of the rows of days that may be deleted."""
    today = _find_today(unix_s)
    for days in range(KEPT_DAYS + 1, KEPT_DAYS + 1 + SWEPT_DAYS):
        day = today - timedelta(days=days)
        yield f'{PREFIX}/{day.isoformat()}/'


def _find_today(unix_s: float) -> date:
    return datetime.fromtimestamp(unix_s, tz=UTC).date()
