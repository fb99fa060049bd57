"""Text of an explanation where a request would go."""

from collections.abc import Iterator, Mapping
from typing import Any

Document = Mapping[str, Any]


def format_route(document: Document) -> Iterator[str]:
    """Yield the lines of an answer, in the order of the decisions."""
    yield f'{document["method"]} {document["host"]}{document["path"]}'
    yield f'configuration: version {document["version"]}'
    if document['is_held']:
        yield 'start: a request waits up to 1 s for the first state'
    yield from _format_admission(document)
    placement = document['placement']
    if placement is not None:
        yield from _format_placement(placement)
    refusal = document['refusal']
    if refusal is None and placement is not None:
        yield f'goes to: {placement["target"]}'
    if refusal is not None:
        yield f'refused: {_format_refusal(refusal)}'


def _format_admission(document: Document) -> Iterator[str]:
    route = document['route']
    if route is None:
        known = '' if document['is_host_known'] else ': no route has this host'
        yield f'route: none{known}'
        return
    yield (
        f'route: {route["name"]} (prefix {route["path_prefix"]}), '
        f'timeout {document["timeout_s"]:g} s, '
        f'goal {route["latency_goal_s"]:g} s, rank {document["rank"]}'
    )
    yield f'team: {document["team"] or "none"}'
    rate = document['rate']
    if rate is not None:
        yield (
            f'rate: {rate["tokens"]:g} tokens left of {rate["share_burst"]:g}; '
            f'{rate["share_per_s"]:g} of {rate["rate_per_s"]:g} requests a '
            'second are for this instance'
        )
    if document['home_regions']:
        yield f'home regions: {", ".join(document["home_regions"])}'
    if document['service'] is not None:
        weights = ', '.join(
            f'{name} {weight:g}' for name, weight in route['weights'].items()
        )
        yield f'service: {document["service"]} (weights: {weights})'


def _format_placement(placement: Document) -> Iterator[str]:
    for each in placement['passes']:
        yield f'{each["scope"]}: {each["target_count"]} targets'
        for rejects in each['left_out']:
            yield (
                f'  left out by {rejects["filter_name"]}: {rejects["count"]} '
                f'({_format_names(rejects)})'
            )
    candidates = placement['candidates']
    count = placement['candidate_count']
    if candidates:
        yield f'compared: {len(candidates)} of {count} targets, cost in seconds'
    for candidate in candidates:
        yield f'  {_format_candidate(candidate)}'
    if placement['admitted_share'] < 1:
        yield (
            'the service is overloaded and admits '
            f'{placement["admitted_share"]:.2f} of the requests of this rank'
        )
    yield f'region shift: {_format_shift(placement["shift"])}'


def _format_names(rejects: Document) -> str:
    names = ', '.join(rejects['targets'])
    return (
        names
        if len(rejects['targets']) == rejects['count']
        else f'{names}, ...'
    )


def _format_candidate(candidate: Document) -> str:
    terms = ' + '.join(
        f'{name.removesuffix("_s")} {seconds:.3f}'
        for name, seconds in candidate['cost_terms'].items()
        if seconds
    )
    warmth = 'warm' if candidate['is_warm'] else 'cold'
    return (
        f'{candidate["target"]} in {candidate["availability_zone"]}, '
        f'{candidate["in_flight"]:.1f} requests on {candidate["slots"]} slots, '
        f'{warmth}, order {candidate["order"]}, '
        f'expected {candidate["expected_s"]:.3f}: '
        f'{candidate["cost_s"]:.3f} = {terms or 0}'
    )


def _format_shift(shift: Document) -> str:
    shares = (
        f'share {shift["current_share"]:.3f}, '
        f'planned {shift["planned_share"]:.3f}, '
        f'owed {shift["owed_requests"]:.2f}'
    )
    if shift['position'] is not None:
        shares = f'{shares}, position of the object {shift["position"]:.3f}'
    if shift['is_after_fault']:
        shares = f'{shares}, not limited after a fault'
    if shift['crosses_region'] is None:
        return shares
    decided = 'another region' if shift['crosses_region'] else 'own region'
    cheapest = (
        'another region' if shift['prefers_cross_region'] else 'own region'
    )
    return f'{decided} (cheapest target: {cheapest}), {shares}'


def _format_refusal(refusal: Document) -> str:
    text = f'{refusal["status"]} {refusal["code"]}: {refusal["detail"]}'
    if refusal['retry_after_s'] is None:
        return text
    return f'{text}, Retry-After about {refusal["retry_after_s"]:.3f}'
