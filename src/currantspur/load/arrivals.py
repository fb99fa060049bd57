"""Draw open-loop arrivals from a seed."""

import random
from collections.abc import Iterable, Iterator

from currantspur.load.messages import LoadSpec, Shot

ID_BITS = 64


def draw_shots(spec: LoadSpec) -> Iterator[Shot]:
    """Yield shots in order of time until the time or the count is used up."""
    stream = _draw_times(spec)
    stream = _draw_requests(stream, spec)
    return _double(stream, spec)


def _draw_times(spec: LoadSpec) -> Iterator[Shot]:
    source = random.Random(spec.seed)
    at_s = 0.0
    for _ in range(spec.count):
        at_s += source.expovariate(spec.rate)
        if at_s > spec.duration_s:
            return
        yield Shot(at_s=at_s)


def _draw_requests(stream: Iterable[Shot], spec: LoadSpec) -> Iterator[Shot]:
    source = random.Random(spec.seed + 1)
    weights = [mix.weight for mix in spec.mixes]
    for shot in stream:
        mix = source.choices(spec.mixes, weights)[0]
        shot.mix = mix
        shot.entry = source.choice(spec.entries)
        shot.request_id = f'{source.getrandbits(ID_BITS):016x}'
        shot.path = f'{mix.path}/{shot.request_id}'
        if mix.submission:
            shot.submission = f's-{shot.request_id}'
        yield shot


def _double(stream: Iterable[Shot], spec: LoadSpec) -> Iterator[Shot]:
    source = random.Random(spec.seed + 2)
    for shot in stream:
        yield shot
        if shot.submission and source.random() < spec.doubled:
            yield Shot(
                at_s=shot.at_s,
                mix=shot.mix,
                entry=source.choice(spec.entries),
                request_id=f'{source.getrandbits(ID_BITS):016x}',
                path=shot.path,
                submission=shot.submission,
            )
