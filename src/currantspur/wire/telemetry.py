"""Set up traces and metrics."""

from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace import NoOpTracer, Tracer
from prometheus_client import CollectorRegistry, Counter, Histogram

from currantspur.platform.counting import CallCounter, CallKind

SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)


class PlatformCalls(CallCounter):
    """Count calls to the platform as a metric."""

    __slots__ = ('calls',)

    def __init__(self, registry: CollectorRegistry) -> None:
        self.calls = Counter(
            'currantspur_platform_calls',
            'Calls to the platform by mechanism.',
            ['mechanism', 'kind'],
            registry=registry,
        )

    def count(self, mechanism: str, kind: CallKind) -> None:
        """Count one call that a mechanism makes."""
        self.calls.labels(mechanism, kind).inc()


class Metrics:
    """Hold the metrics of one instance in a registry of its own."""

    __slots__ = ('lookups', 'platform_calls', 'registry', 'requests', 'seconds')

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.platform_calls = PlatformCalls(self.registry)
        self.requests = Counter(
            'currantspur_requests',
            'Requests by how they ended.',
            ['outcome'],
            registry=self.registry,
        )
        self.lookups = Counter(
            'currantspur_lookups', 'Look-ups.', registry=self.registry
        )
        self.seconds = Histogram(
            'currantspur_request_seconds',
            'Time from arrival to the end of the answer.',
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )


def open_tracer(*, instance: str, collector: str | None) -> Tracer:
    """Return a tracer that exports to a collector, or to nobody."""
    if collector is None:
        return NoOpTracer()
    resource = Resource.create(
        {
            'service.name': 'currantspur',
            'service.instance.id': instance,
        }
    )
    provider = TracerProvider(resource=resource)
    exporter = OTLPSpanExporter(endpoint=f'http://{collector}/v1/traces')
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider.get_tracer('currantspur')
