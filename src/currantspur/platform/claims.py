"""Encode the rows of claims and the answers they keep."""

from base64 import b64decode, b64encode
from typing import Any

import orjson

from currantspur.decisions.claims import ClaimRow
from currantspur.messages import StoredAnswer


def encode_claim(claim: ClaimRow) -> str:
    """Return the text of the row of a claim."""
    plain: dict[str, Any] = {
        'attempt_id': claim.attempt_id,
        'fingerprint': claim.fingerprint,
        'state': claim.state,
    }
    if claim.object_name is not None:
        plain['object_name'] = claim.object_name
    elif claim.answer is not None:
        plain['answer'] = _describe_answer(claim.answer)
    return orjson.dumps(plain).decode()


def decode_claim(text: str) -> ClaimRow:
    """Return the claim that a row holds."""
    plain = orjson.loads(text)
    answer = plain.get('answer')
    return ClaimRow(
        attempt_id=plain['attempt_id'],
        fingerprint=plain['fingerprint'],
        state=plain['state'],
        answer=_build_answer(answer) if answer else None,
        object_name=plain.get('object_name'),
    )


def encode_answer(answer: StoredAnswer) -> bytes:
    """Return the body of the object that holds an answer."""
    return orjson.dumps(_describe_answer(answer))


def decode_answer(body: bytes) -> StoredAnswer:
    """Return the answer that an object holds."""
    return _build_answer(orjson.loads(body))


def _describe_answer(answer: StoredAnswer) -> dict[str, Any]:
    return {
        'status': answer.status,
        'headers': answer.headers,
        'body': b64encode(answer.body).decode(),
    }


def _build_answer(plain: dict[str, Any]) -> StoredAnswer:
    return StoredAnswer(
        status=plain['status'],
        headers=tuple((name, line) for name, line in plain['headers']),
        body=b64decode(plain['body']),
    )
