"""Export spans over OTLP; imported only if a collector is configured."""

from typing import Any

from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter
from opentelemetry.trace import set_span_in_context

from currantspur.tasks.tracing import Tracer


class OtlpTracer(Tracer):
    """Export spans in batches; requests never wait for the collector."""

    __slots__ = ('provider', 'tracer')

    def __init__(self, *, instance: str, exporter: SpanExporter) -> None:
        resource = Resource.create({'service.name': instance})
        self.provider = TracerProvider(resource=resource)
        self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer('currantspur')

    def begin(self, name: str, parent: Any = None) -> Any:
        """Start a span, as a child of `parent` unless that is None."""
        context = set_span_in_context(parent) if parent else None
        return self.tracer.start_span(name, context)

    def end(self, span: Any, **attributes: str | float) -> None:
        """Set the attributes of a span and end it."""
        span.set_attributes(attributes)
        span.end()


def open_otlp_tracer(*, instance: str, collector: str) -> OtlpTracer:
    """Return a tracer that exports to a collector at `host:port`."""
    exporter = OTLPSpanExporter(endpoint=f'http://{collector}/v1/traces')
    return OtlpTracer(instance=instance, exporter=exporter)
