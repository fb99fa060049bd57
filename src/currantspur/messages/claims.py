"""Define what is said about claims on non-idempotent requests."""

from currantspur.messages.base import Message


class ClaimRequest(Message):
    """Ask for the claim on a team's idempotency key."""

    __slots__ = ('attempt_id', 'fingerprint', 'idempotency_key', 'team')

    def __init__(
        self,
        *,
        team: str,
        idempotency_key: str,
        attempt_id: str,
        fingerprint: str,
    ) -> None:
        """Take what tells one attempt and one request from another."""
        self.team = team
        self.idempotency_key = idempotency_key
        self.attempt_id = attempt_id
        self.fingerprint = fingerprint


class Claim(Message):
    """Hold a claim that an attempt was granted."""

    __slots__ = ('attempt_id', 'fingerprint', 'row', 'version')

    def __init__(
        self, *, row: str, version: int, attempt_id: str, fingerprint: str
    ) -> None:
        """Take the row and the version that granting it wrote."""
        self.row = row
        self.version = version
        self.attempt_id = attempt_id
        self.fingerprint = fingerprint


class StoredAnswer(Message):
    """Keep a whole answer for later duplicates."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, *, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ClaimResult(Message):
    """Say what came of a claim; without an answer nothing was run."""

    __slots__ = ('answer', 'claim', 'object_name')

    def __init__(
        self,
        *,
        claim: Claim,
        answer: StoredAnswer | None = None,
        object_name: str | None = None,
    ) -> None:
        """Take the answer or the object that holds it."""
        self.claim = claim
        self.answer = answer
        self.object_name = object_name


class ClaimFlush(Message):
    """Ask to be answered once every note on a claim is written."""

    __slots__ = ()
