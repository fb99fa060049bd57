"""Encode the plan that a version names."""

from typing import Any

import orjson

from currantspur.messages import Allotment, Part, Plan

PLAN_SECTION = 'plan'


def encode_plan(plan: Plan) -> bytes:
    """Return the body of a plan; equal plans give equal bytes."""
    totals = {name: _encode_part(total) for name, total in plan.totals.items()}
    parts: dict[str, Any] = {name: {} for name in totals}
    for allotment in plan.allotments:
        held = parts.setdefault(allotment.limit, {})
        held[allotment.instance] = _encode_part(allotment.part)
    return orjson.dumps(
        {'parts': parts, 'totals': totals}, option=orjson.OPT_SORT_KEYS
    )


def decode_plan(body: bytes) -> Plan:
    """Return the plan of a body."""
    plain = orjson.loads(body)
    return Plan(
        allotments=tuple(
            Allotment(limit=name, instance=instance, part=_decode_part(part))
            for name, held in plain['parts'].items()
            for instance, part in held.items()
        ),
        totals={
            name: _decode_part(total) for name, total in plain['totals'].items()
        },
    )


def _encode_part(part: Part) -> list[float]:
    return [part.rate, part.burst]


def _decode_part(plain: list[float]) -> Part:
    rate, burst = plain
    return Part(rate=rate, burst=burst)
