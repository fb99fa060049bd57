"""Check the heads of responses from targets before they are passed on."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

# The HTTP client library accepts these in names and values of headers, the
# server library refuses to write them (RFC 9110, 5.5).
_CONTROL_CHARACTERS: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


def find_head_fault(
    status: int, headers: Iterable[tuple[str, str]]
) -> str | None:
    """Return why a head is not one of a final response; None if it is."""
    if status < HTTPStatus.OK:
        # No request asks for an upgrade, and other interim responses are
        # skipped by the client library.
        return f'status {status} is not final'
    for name, text in headers:
        if _CONTROL_CHARACTERS.search(name + text):
            return 'control character in the head'
    return None
