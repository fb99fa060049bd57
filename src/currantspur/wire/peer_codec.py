"""Translate messages between instances to protobuf and back."""

from types import MappingProxyType
from typing import Any, Final

from google.protobuf.message import DecodeError

from currantspur.errors import PeerAwayError
from currantspur.messages import (
    HeadAnswer,
    HeadRequest,
    Instance,
    Loan,
    LoanRequest,
    MembersAnswer,
    MembersRequest,
    Message,
    ObjectAnswer,
    ObjectRequest,
    ProofAnswer,
    ProofRequest,
    Receipt,
    VersionNotice,
    WriteAcknowledgement,
    WriteIntent,
    fields,
)
from currantspur.wire.generated import peer_pb2

SERVICE = 'currantspur.peer.Peer'


class Call(Message):
    """Join the name of a remote call with its question and answer."""

    __slots__ = ('answer', 'name', 'question')

    def __init__(
        self, name: str, question: type[Message], answer: type[Message]
    ) -> None:
        self.name = name
        self.question = question
        self.answer = answer

    @property
    def path(self) -> str:
        """Path of the call."""
        return f'/{SERVICE}/{self.name}'


CALLS: Final = (
    Call('Prove', ProofRequest, ProofAnswer),
    Call('Lend', LoanRequest, Loan),
    Call('Intend', WriteIntent, WriteAcknowledgement),
    Call('Notify', VersionNotice, Receipt),
    Call('ReadHead', HeadRequest, HeadAnswer),
    Call('ReadObject', ObjectRequest, ObjectAnswer),
    Call('ListMembers', MembersRequest, MembersAnswer),
)
CALL_BY_QUESTION: Final = MappingProxyType(
    {call.question: call for call in CALLS}
)


def encode(message: Message) -> bytes:
    """Return the protobuf form of a message."""
    kind = getattr(peer_pb2, type(message).__name__)
    plain = {name: _encode_field(field) for name, field in fields(message)}
    encoded: bytes = kind(**plain).SerializeToString()
    return encoded


def decode(kind: type[Message], body: bytes) -> Message:
    """Return the message of a class that a protobuf form describes."""
    form = getattr(peer_pb2, kind.__name__)
    try:
        return _decode_form(kind, form.FromString(body))
    except DecodeError as error:
        raise PeerAwayError(f'not a {kind.__name__}') from error


def _encode_field(field: Any) -> Any:
    if isinstance(field, tuple):
        return [_encode_field(member) for member in field]
    if isinstance(field, Instance):
        return peer_pb2.Member(**dict(fields(field)))
    return field


def _decode_form(kind: type[Message], form: Any) -> Message:
    plain = {
        field.name: _decode_field(getattr(form, field.name))
        for field in form.DESCRIPTOR.fields
    }
    return kind(**plain)


def _decode_field(field: Any) -> Any:
    if isinstance(field, peer_pb2.Member):
        return _decode_form(Instance, field)
    if isinstance(field, str | bytes | int | float):
        return field
    return tuple(_decode_field(member) for member in field)
