"""Join filters into the streams that requests and readings pass through."""

from currantspur.pipelines.admission import AdmissionState, assemble_admission
from currantspur.pipelines.filter import Filter, Gate, Pipeline
from currantspur.pipelines.placement import PlacementState, place

__all__ = (
    'AdmissionState',
    'Filter',
    'Gate',
    'Pipeline',
    'PlacementState',
    'assemble_admission',
    'place',
)
