"""Run benchmark cases: python -m bench [--compare REVISION] [CASE...]."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import cyclopts

from bench.runner import (
    ROOT,
    Readings,
    fold,
    measure,
    measure_apart,
    open_revision,
    print_table,
)

OUTPUT = ROOT / 'out' / 'bench.json'

app = cyclopts.App(name='bench', help='Measure the project.')


@app.default
def run(
    *cases: str,
    repeats: int = 5,
    seed: int = 1,
    compare: str | None = None,
    once: bool = False,
    output: Path = OUTPUT,
) -> None:
    """Print medians of repeated runs, beside an earlier commit if named."""
    if once:
        sys.stdout.write(f'{json.dumps(measure(cases, seed=seed))}\n')
        return
    now, before = _repeat(cases, repeats, seed, compare)
    for line in print_table(now, before):
        sys.stdout.write(f'{line}\n')
    output.parent.mkdir(exist_ok=True)
    written = {'seed': seed, 'now': now, 'before': before}
    output.write_text(json.dumps(written, indent=2), encoding='utf-8')


def _repeat(
    cases: Sequence[str], repeats: int, seed: int, compare: str | None
) -> tuple[Readings, Readings]:
    now = []
    before = []
    if compare is None:
        now = [measure_apart(cases, seed) for _ in range(repeats)]
        return fold(now), {}
    with open_revision(compare) as tree:
        for _ in range(repeats):
            earlier = tree / 'src'
            before.append(measure_apart(cases, seed, source=earlier))
            now.append(measure_apart(cases, seed))
    return fold(now), fold(before)


if __name__ == '__main__':
    app()
