import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from currantspur.standins.fleet import wait_until
from currantspur.standins.target import Shedding
from currantspur.wire.traces import OtlpTracer, open_otlp_tracer
from tests.fleets import call, first, open_fleet


@pytest.mark.parametrize(
    ('sheds', 'outcomes'), [(False, ['answered']), (True, ['shed', 'answered'])]
)
async def test_a_span_for_each_hop(sheds, outcomes):
    exporter = InMemorySpanExporter()
    async with open_fleet() as (fleet, session):
        daemon = first(fleet.daemons)
        traces = OtlpTracer(instance='entry-0', exporter=exporter)
        daemon.listener.forwarder.tracer = traces
        if sheds:
            state = daemon.dispatcher.target_states['target-0']
            state.record_success(daemon.clock.now(), '17')
            fleet.targets['target-0'].behaviour = Shedding()
        await call(session, daemon)
        await wait_until(lambda: not daemon.listener.active_requests)
        traces.provider.force_flush()
    *exchanges, request = exporter.get_finished_spans()
    assert request.name == 'entry.request'
    assert request.attributes['request'] == 'r-1'
    assert [one.attributes['outcome'] for one in exchanges] == outcomes
    assert {one.parent.span_id for one in exchanges} == {
        request.context.span_id
    }


def test_an_exporter_is_opened():
    traces = open_otlp_tracer(instance='entry-0', collector='127.0.0.1:4318')
    traces.provider.shutdown()
