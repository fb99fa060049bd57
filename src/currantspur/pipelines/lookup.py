"""Answer look-ups: client block, eligible entries, weights, cache time."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.nearness import EntryTable
from currantspur.messages import LookupAnswer, LookupQuery
from currantspur.pipelines.filter import Filter, Pipeline


class ChooseEntries(Filter[LookupQuery, LookupAnswer]):
    """Choose entries near the client of each query."""

    __slots__ = ('table',)

    def __init__(self, table: EntryTable) -> None:
        self.table = table

    def run(self, stream: Iterable[LookupQuery]) -> Iterator[LookupAnswer]:
        """Yield an answer for each query."""
        for query in stream:
            yield self.table.answer(query.client, query.team)


def assemble_lookup(table: EntryTable) -> Pipeline:
    """Join the filters that turn a query into an answer."""
    return Pipeline(ChooseEntries(table))
