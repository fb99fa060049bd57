"""Carry messages between instances over gRPC."""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import grpc

from currantspur.errors import (
    ListenError,
    MailboxFullError,
    PeerAwayError,
)
from currantspur.messages import Instance, Message
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.wire.peer_codec import (
    CALL_BY_QUESTION,
    CALLS,
    SERVICE,
    Call,
    decode,
    encode,
)

MESSAGE_LIMIT_BYTES = 67_108_864
CHANNELS_LIMIT = 64
BACKOFF_MS = 500
STOP_S = 1.0
OPTIONS = (
    ('grpc.max_receive_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.max_send_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.initial_reconnect_backoff_ms', BACKOFF_MS),
    ('grpc.min_reconnect_backoff_ms', BACKOFF_MS),
    ('grpc.max_reconnect_backoff_ms', BACKOFF_MS),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
)


class GrpcPeers(PeerPort):
    """Own the channels to other instances."""

    __slots__ = ('channels', 'credentials')

    def __init__(
        self, credentials: Callable[[], grpc.ChannelCredentials] | None = None
    ) -> None:
        """Take what gives the credentials of a channel (None: no TLS)."""
        self.credentials = credentials
        self.channels: dict[str, grpc.aio.Channel] = {}

    async def ask(
        self, peer: Instance, message: Message, *, timeout_s: float
    ) -> Message:
        """Return the answer or raise PeerAwayError."""
        call = CALL_BY_QUESTION[type(message)]
        channel = await self._open(peer.peer)
        try:
            body = await channel.unary_unary(call.path)(
                encode(message), timeout=timeout_s
            )
        except (grpc.aio.AioRpcError, grpc.aio.UsageError) as error:
            raise PeerAwayError(f'{peer.name or peer.peer} is away') from error
        return decode(call.answer, body)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            await channel.close()
        self.channels.clear()

    async def _open(self, address: str) -> grpc.aio.Channel:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = self._connect(address)
        self.channels[address] = channel
        if len(self.channels) > CHANNELS_LIMIT:
            oldest = next(iter(self.channels))
            await self.channels.pop(oldest).close()
        return channel

    def _connect(self, address: str) -> grpc.aio.Channel:
        if self.credentials is None:
            return grpc.aio.insecure_channel(address, options=OPTIONS)
        return grpc.aio.secure_channel(
            address, self.credentials(), options=OPTIONS
        )


class PeerServer:
    """Pass what other instances ask to the mailboxes of tasks."""

    __slots__ = ('mailboxes', 'server')

    def __init__(self, mailboxes: Mapping[type[Message], Mailbox]) -> None:
        """Take the mailbox that answers each class of questions."""
        self.mailboxes = dict(mailboxes)
        self.server: grpc.aio.Server | None = None

    async def start(
        self, address: str, credentials: grpc.ServerCredentials | None = None
    ) -> None:
        """Listen at an IP number and port or raise ListenError."""
        server = grpc.aio.server(options=OPTIONS)
        server.add_generic_rpc_handlers((self._assemble(),))
        try:
            if credentials is None:
                server.add_insecure_port(address)
            else:
                server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise ListenError(f'{address}: in use') from error
        await server.start()
        self.server = server

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            await self.server.stop(STOP_S)

    def _assemble(self) -> grpc.GenericRpcHandler:
        handlers = {
            call.name: grpc.unary_unary_rpc_method_handler(
                partial(self._answer, call)
            )
            for call in CALLS
            if call.question in self.mailboxes
        }
        return grpc.method_handlers_generic_handler(SERVICE, handlers)

    async def _answer(
        self, call: Call, body: bytes, context: grpc.aio.ServicerContext
    ) -> Any:
        mailbox = self.mailboxes[call.question]
        try:
            answer = await mailbox.ask(decode(call.question, body))
        except PeerAwayError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except MailboxFullError as error:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))
        return encode(answer)
