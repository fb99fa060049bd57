"""Join filters into the pipelines that each stream of messages runs through."""

from currantspur.pipelines.admission import (
    AdmissionState,
    assemble_admission,
    assemble_spending,
)
from currantspur.pipelines.confirmation import assemble_confirmation
from currantspur.pipelines.filter import Filter, Gate, Pipeline
from currantspur.pipelines.lookup import assemble_lookup

__all__ = (
    'AdmissionState',
    'Filter',
    'Gate',
    'Pipeline',
    'assemble_admission',
    'assemble_confirmation',
    'assemble_lookup',
    'assemble_spending',
)
