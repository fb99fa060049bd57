"""Send a bounded, open-loop load on loopback and check the promises."""

from currantspur.load.caller import run_load
from currantspur.load.messages import (
    Allowance,
    Hit,
    LoadSpec,
    Mix,
    Shot,
    Violation,
)
from currantspur.load.report import LoadReport, TeamSummary, print_report
from currantspur.load.specification import read_load

__all__ = (
    'Allowance',
    'Hit',
    'LoadReport',
    'LoadSpec',
    'Mix',
    'Shot',
    'TeamSummary',
    'Violation',
    'print_report',
    'read_load',
    'run_load',
)
