"""Run experiments of the decision model."""

from pathlib import Path

from currantspur.cli.application import app
from currantspur.model import read_experiment, run_experiment
from currantspur.model.output import draw_plots, write_csv


@app.command
def experiment(
    *files: Path, out: Path | None = None, plots: bool = False
) -> None:
    """Run experiments of the decision model; write CSV, and plots if asked."""
    folder = out or Path('out')
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        rows = list(run_experiment(read_experiment(file)))
        write_csv(rows, folder / f'{file.stem}.csv')
        if plots:
            draw_plots(rows, folder / f'{file.stem}.png')
