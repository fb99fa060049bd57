"""Choose how an instance records traces."""

from currantspur.settings import DaemonSettings
from currantspur.tasks.tracing import NoTracer, Tracer


def open_tracer(settings: DaemonSettings) -> Tracer:
    """Return the tracer of the settings; without a collector, none."""
    if settings.collector is None:
        return NoTracer()
    # Imported here since the tracing libraries take memory that an instance
    # without a collector saves.
    from currantspur.wire.traces import open_otlp_tracer

    return open_otlp_tracer(
        instance=settings.instance, collector=settings.collector
    )
