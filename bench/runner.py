"""Run cases, here and in an earlier commit, and print medians and ratios."""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Generator, Iterator, Sequence
from contextlib import contextmanager
from importlib import import_module
from pathlib import Path
from statistics import median
from typing import Any

from bench.case import Case
from bench.processes import SOURCE

ROOT = Path(__file__).resolve().parent.parent
MODULES = (
    'pure',
    'http',
    'carrying',
    'steering',
    'lending',
    'control',
    'peers',
)
Readings = dict[str, dict[str, Any]]


def list_cases(names: Sequence[str]) -> Iterator[Case]:
    """Yield the cases named, or all."""
    for module in MODULES:
        if (ROOT / 'bench' / f'{module}.py').exists():
            found = getattr(import_module(f'bench.{module}'), 'CASES', ())
            yield from (one for one in found if matches(one, names))


def matches(case: Case, names: Sequence[str]) -> bool:
    """Tell whether a case was asked for."""
    return not names or any(case.name.startswith(name) for name in names)


def measure(names: Sequence[str], *, seed: int) -> Readings:
    """Return the figures of one run of each case."""
    return {
        f'{case.name}: {figure.name}': {
            'reading': figure.reading,
            'unit': figure.unit,
        }
        for case in list_cases(names)
        for figure in case.run(seed)
    }


@contextmanager
def open_revision(revision: str) -> Generator[Path, None, None]:
    """Check an earlier commit out beside this one; remove it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / 'tree'
        _git('worktree', 'add', '--detach', str(tree), revision)
        try:
            yield tree
        finally:
            _git('worktree', 'remove', '--force', str(tree))


def measure_apart(
    names: Sequence[str], seed: int, *, source: Path | None = None
) -> Readings:
    """Return the figures of one run in a process of its own.

    The cases are always this commit's; the daemons that they start come from
    the source named, so that an earlier commit is measured in the same way.
    """
    chosen = {SOURCE: str(source)} if source else {}
    done = subprocess.run(
        [sys.executable, '-m', 'bench', '--once', f'--seed={seed}', *names],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': 'src', **chosen},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        sys.stderr.write(done.stderr)
        return {}
    readings: Readings = json.loads(done.stdout.splitlines()[-1])
    return readings


def fold(runs: Sequence[Readings]) -> Readings:
    """Return the median of each figure over runs."""
    folded: Readings = {}
    for name in sorted({name for run in runs for name in run}):
        found = [run[name] for run in runs if name in run]
        readings = [one['reading'] for one in found]
        folded[name] = {
            'reading': median(readings),
            'low': min(readings),
            'high': max(readings),
            'unit': found[0]['unit'],
            'runs': len(readings),
        }
    return folded


def print_table(now: Readings, before: Readings) -> Iterator[str]:
    """Yield a line for each figure, with its ratio to the earlier one."""
    for name, figure in now.items():
        line = f'{name:52} {figure["reading"]:14,.2f} {figure["unit"]:8}'
        spread = f'{figure["low"]:,.2f} to {figure["high"]:,.2f}'
        earlier = before.get(name)
        if earlier and earlier['reading']:
            ratio = figure['reading'] / earlier['reading']
            spread = f'{spread}  ratio {ratio:.2f}'
        yield f'{line} {spread}'


def _git(*words: str) -> None:
    subprocess.run(['git', *words], cwd=ROOT, check=True, capture_output=True)
