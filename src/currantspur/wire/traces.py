"""Send spans to a collector; imported only where one is named."""

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
    """Pass spans on in batches; nothing waits for the collector."""

    __slots__ = ('provider', 'tracer')

    def __init__(self, *, instance: str, exporter: SpanExporter) -> None:
        named = Resource.create({'service.name': instance})
        self.provider = TracerProvider(resource=named)
        self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer('currantspur')

    def begin(self, name: str, parent: Any = None) -> Any:
        """Begin a span, below another one if there is one."""
        context = set_span_in_context(parent) if parent else None
        return self.tracer.start_span(name, context)

    def end(self, span: Any, **attributes: str | float) -> None:
        """End a span with what is known of it by then."""
        span.set_attributes(attributes)
        span.end()


def open_otlp_tracer(*, instance: str, collector: str) -> OtlpTracer:
    """Return a tracer that sends to a collector's address."""
    exporter = OTLPSpanExporter(endpoint=f'http://{collector}/v1/traces')
    return OtlpTracer(instance=instance, exporter=exporter)
