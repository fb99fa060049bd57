"""Pipelines of filters that admit requests and choose their targets."""

from currantspur.pipelines.admission import AdmissionState, assemble_admission
from currantspur.pipelines.filter import AdmissionCheck, Filter, Pipeline
from currantspur.pipelines.placement import choose_target
from currantspur.pipelines.placement_state import PlacementState

__all__ = (
    'AdmissionCheck',
    'AdmissionState',
    'Filter',
    'Pipeline',
    'PlacementState',
    'assemble_admission',
    'choose_target',
)
