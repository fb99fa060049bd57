"""Encode what targets said of themselves, for peers."""

from typing import Any

from currantspur.encoding import parse_amount, parse_count
from currantspur.messages import TargetNotice, TargetSignals

AGE_DECIMALS = 2


def notice_to_dict(notice: TargetNotice) -> dict[str, Any]:
    """Return a notice as a JSON object."""
    return {
        'target': notice.target,
        'started': notice.started_at_unix_ms,
        'address': notice.address,
        'age_s': round(notice.age_s, AGE_DECIMALS),
        'leaving': notice.signals.is_leaving,
        'limit_per_s': notice.signals.limit_per_s,
    }


def parse_notice(document: Any) -> TargetNotice:
    """Return the notice; raise one of MALFORMED_INPUT_ERRORS."""
    return TargetNotice(
        target=str(document['target']),
        started_at_unix_ms=parse_count(document['started']),
        address=str(document['address']),
        age_s=parse_amount(document['age_s']),
        signals=TargetSignals(
            is_leaving=bool(document['leaving']),
            limit_per_s=_parse_optional_rate(document['limit_per_s']),
        ),
    )


def _parse_optional_rate(document: Any) -> float | None:
    return None if document is None else parse_amount(document)
