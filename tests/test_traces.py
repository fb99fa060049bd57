import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from currantspur.standins.behaviours import Shedding
from currantspur.standins.fleet import wait_until
from currantspur.wire.traces import OtlpTracer, open_otlp_tracer
from tests.fleets import first_value, open_fleet, send_request


@pytest.mark.parametrize(
    ('sheds', 'outcomes'), [(False, ['answered']), (True, ['shed', 'answered'])]
)
async def test_each_attempt_has_a_child_span_of_request(sheds, outcomes):
    exporter = InMemorySpanExporter()
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        tracer = OtlpTracer(instance='entry-0', exporter=exporter)
        daemon.request_handler.forwarder.tracer = tracer
        if sheds:
            state = daemon.dispatcher.target_states['target-0']
            state.record_success(daemon.clock.now(), '17')
            fleet.targets['target-0'].behaviour = Shedding()
        await send_request(session, daemon)
        await wait_until(lambda: not daemon.request_handler.active_requests)
        tracer.provider.force_flush()
    *attempt_spans, request_span = exporter.get_finished_spans()
    assert request_span.name == 'entry.request'
    assert request_span.attributes['request'] == 'r-1'
    assert [span.attributes['outcome'] for span in attempt_spans] == outcomes
    assert {span.parent.span_id for span in attempt_spans} == {
        request_span.context.span_id
    }


def test_otlp_tracer_opens_without_a_collector():
    tracer = open_otlp_tracer(instance='entry-0', collector='127.0.0.1:4318')
    tracer.provider.shutdown()
