"""Define and serve the Prometheus metrics of an instance."""

from collections.abc import Callable, Mapping

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

REQUEST_SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)


class Metrics:
    """Register the counters and histograms of one instance."""

    __slots__ = (
        'clients_limited',
        'exchanges',
        'lines_lost',
        'lookups',
        'registry',
        'request_seconds',
        'requests',
        'store_calls',
        'target_connections',
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'currantspur_requests',
            'Requests by how they ended.',
            ('outcome',),
            registry=self.registry,
        )
        self.exchanges = Counter(
            'currantspur_exchanges',
            'Exchanges with targets by how they ended.',
            ('outcome',),
            registry=self.registry,
        )
        self.clients_limited = Counter(
            'currantspur_clients_limited',
            'Requests refused and connections closed by limits on clients.',
            ('reason',),
            registry=self.registry,
        )
        self.lookups = Counter(
            'currantspur_lookups',
            'Look-ups answered.',
            registry=self.registry,
        )
        self.lines_lost = Counter(
            'currantspur_log_lines_lost',
            'Log lines that the reader was too slow for.',
            registry=self.registry,
        )
        self.store_calls = Counter(
            'currantspur_store_calls',
            'Calls to the store by kind and how they ended.',
            ('kind', 'outcome'),
            registry=self.registry,
        )
        self.target_connections = Counter(
            'currantspur_target_connections',
            'Requests to targets by whether their connection was new.',
            ('kind',),
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            'currantspur_request_seconds',
            'Seconds from the arrival of a request to its end.',
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=self.registry,
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Register a gauge that is read by a callback on each scrape.

        Its name gets the prefix `currantspur_`.
        """
        gauge = Gauge(
            f'currantspur_{name}', description, registry=self.registry
        )
        gauge.set_function(read)

    def add_gauges(
        self,
        name: str,
        description: str,
        *,
        label: str,
        reads: Mapping[str, Callable[[], float]],
    ) -> None:
        """Register a gauge with one callback for each value of its label."""
        gauge = Gauge(
            f'currantspur_{name}',
            description,
            (label,),
            registry=self.registry,
        )
        for value, read in reads.items():
            gauge.labels(value).set_function(read)

    async def handle_scrape(self, _request: web.BaseRequest) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        return web.Response(
            body=generate_latest(self.registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )
