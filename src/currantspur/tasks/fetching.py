"""Fetch heads and objects from peers first, then from the store."""

from collections.abc import Iterable

from currantspur.errors import (
    ObjectMissingError,
    PeerAwayError,
    PlatformAwayError,
    PlatformError,
)
from currantspur.messages import (
    Head,
    HeadAnswer,
    HeadRequest,
    Instance,
    ObjectAnswer,
    ObjectRequest,
)
from currantspur.platform import Platform
from currantspur.platform.versions import (
    decode_head_text,
    is_intact,
    read_version,
)
from currantspur.tasks.peers import PeerPort

FETCH_S = 1.0


class Fetcher:
    """Ask peers and the store for one head or object at a time."""

    __slots__ = ('peers', 'platform')

    def __init__(self, *, peers: PeerPort, platform: Platform) -> None:
        self.peers = peers
        self.platform = platform

    async def fetch_head(
        self, version: int, holders: Iterable[Instance]
    ) -> Head:
        """Return the head of a version; 0 takes the newest of a peer."""
        for holder in holders:
            head = await self._ask_head(version, holder)
            if head is not None and version in {0, head.version}:
                return head
        if version == 0:
            raise PlatformAwayError('no peer holds a version')
        return await read_version(self.platform, version)

    async def fetch_object(
        self, name: str, holders: Iterable[Instance], *, store_first: bool
    ) -> bytes:
        """Return an object whose body fits its name."""
        if store_first:
            body = await self._try_store(name)
            if body is not None:
                return body
        for holder in holders:
            body = await self._ask_object(name, holder)
            if body is not None:
                return body
        body = await self.platform.object_store.get(name)
        if not is_intact(name, body):
            raise ObjectMissingError(f'{name} is damaged')
        return body

    async def _try_store(self, name: str) -> bytes | None:
        try:
            body = await self.platform.object_store.get(name)
        except PlatformError:
            return None
        return body if is_intact(name, body) else None

    async def _ask_head(self, version: int, holder: Instance) -> Head | None:
        try:
            answer = await self.peers.ask(
                holder, HeadRequest(version=version), timeout_s=FETCH_S
            )
        except PeerAwayError:
            return None
        if isinstance(answer, HeadAnswer) and answer.text:
            return decode_head_text(answer.text)
        return None

    async def _ask_object(self, name: str, holder: Instance) -> bytes | None:
        try:
            answer = await self.peers.ask(
                holder, ObjectRequest(name=name), timeout_s=FETCH_S
            )
        except PeerAwayError:
            return None
        if not isinstance(answer, ObjectAnswer) or not answer.found:
            return None
        return answer.body if is_intact(name, answer.body) else None
