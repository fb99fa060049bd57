"""Choose the entry instances that a client should use."""

from collections.abc import Iterable, Mapping

from currantspur.decisions.blocks import BlockTable
from currantspur.decisions.chunks import cut_blocks
from currantspur.decisions.spread import Holders, Spread
from currantspur.messages import (
    BlockChange,
    Configuration,
    Flows,
    Instance,
    LookupAnswer,
)


class EntryTable:
    """Answer look-ups from blocks, flows and the list of instances."""

    __slots__ = ('answers', 'blocks', 'cache_s', 'inline', 'sites', 'spread')

    def __init__(self) -> None:
        self.blocks = BlockTable()
        self.inline: BlockTable | None = None
        self.sites: dict[str, str] = {}
        self.cache_s = 1.0
        self.spread = Spread()
        self.answers: dict[tuple[str | None, str | None], LookupAnswer] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the blocks, sites, regions and cache time of a version."""
        has_blocks = bool(configuration.blocks)
        self.inline = load_blocks(configuration) if has_blocks else None
        self.cache_s = configuration.steering.cache_s
        self.sites = {
            site.name: site.availability_zone for site in configuration.sites
        }
        self.spread.configure(configuration)
        self.answers.clear()

    def change(self, change: BlockChange) -> None:
        """Take changed chunks of the blocks."""
        self.blocks.apply(change)

    def replace(self, instances: Iterable[Instance]) -> None:
        """Take the members; leaving ones are no longer answered."""
        self.spread.replace(instances)
        self.answers.clear()

    def steer(self, flows: Flows) -> None:
        """Take the share of each origin's callers that a zone gets."""
        self.spread.flows = flows
        self.answers.clear()

    def hold(self, holders: Mapping[str, Holders]) -> None:
        """Take the instances that hold a part of each team's rate."""
        self.spread.holders = dict(holders)
        self.answers.clear()

    def find_site(self, client: bytes) -> str | None:
        """Return the site of the longest block that holds a client."""
        if self.inline is not None:
            site = self.inline.find(client)
            if site is not None:
                return site
        return self.blocks.find(client)

    def answer(self, client: bytes, team: str | None = None) -> LookupAnswer:
        """Return the entries for a client's packed address."""
        site = self.find_site(client)
        if team not in self.spread.holders:
            team = None
        answer = self.answers.get((site, team))
        return answer or self._prepare(site, team)

    def _prepare(self, site: str | None, team: str | None) -> LookupAnswer:
        zone = self.sites.get(site, site) if site else None
        answer = LookupAnswer(
            entries=self.spread.choose(zone, team),
            cache_s=self.cache_s,
            site=site,
        )
        self.answers[site, team] = answer
        return answer


def load_blocks(configuration: Configuration) -> BlockTable:
    """Return the table of the blocks listed in a configuration."""
    table = BlockTable()
    chunks = tuple(cut_blocks(configuration.blocks))
    prefixes = tuple(chunk.prefix for chunk in chunks)
    table.apply(BlockChange(chunks=chunks, prefixes=prefixes))
    return table
