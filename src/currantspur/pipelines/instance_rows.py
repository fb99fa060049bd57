"""Decode the table of instances."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from currantspur.messages import (
    Instance,
    ListedInstances,
    Message,
    TableSnapshot,
)
from currantspur.pipelines.filter import Filter


class InstanceCodec(ABC):
    """Interface that encodes and decodes instances as rows of the store."""

    __slots__ = ()

    @abstractmethod
    def encode(self, instance: Instance) -> bytes:
        """Return the encoded row of an instance."""

    @abstractmethod
    def decode(self, encoded: bytes) -> Instance | None:
        """Return the instance of a row, or None if the row is malformed."""


class InstanceRowDecoder(Filter[TableSnapshot, Message]):
    """Turn each snapshot of the table into the instances that it lists."""

    __slots__ = ('codec',)

    def __init__(self, codec: InstanceCodec) -> None:
        self.codec = codec

    def run(self, stream: Iterable[TableSnapshot]) -> Iterator[Message]:
        """Yield one message for each snapshot; skip malformed rows."""
        for snapshot in stream:
            yield decode_instances(self.codec, snapshot.rows_by_key.values())


def decode_instances(
    codec: InstanceCodec, rows: Iterable[bytes | None]
) -> ListedInstances:
    """Return the instances of rows; skip removed and malformed ones."""
    decoded = (codec.decode(row) for row in rows if row is not None)
    instances: dict[str, Instance] = {
        instance.name: instance for instance in decoded if instance is not None
    }
    return ListedInstances(instances=tuple(instances.values()))
