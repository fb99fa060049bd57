"""Load certificates and keys, and load them again when they are replaced."""

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import grpc
from loguru import logger

from currantspur.errors import ListenError, PeerAwayError
from currantspur.settings import TlsFiles
from currantspur.tasks.clock import Clock

RELOAD_S = 5.0
Stamp = tuple[tuple[int, int], ...]


class CallerTls:
    """Hold the context of new connections of callers."""

    __slots__ = ('context', 'files', 'stamp')

    def __init__(self, files: TlsFiles) -> None:
        """Load the files or raise ListenError."""
        self.files = files
        self.context = open_context()
        self.stamp: Stamp = ()
        if not self.reload():
            raise ListenError(f'{files.certificate}: no usable certificate')

    def reload(self) -> bool:
        """Load the files if they changed; tell whether that went well."""
        try:
            stamp = read_stamp(self.files)
            if stamp == self.stamp:
                return True
            # Tried apart first: a pair half replaced must not be taken.
            load_pair(open_context(), self.files)
            load_pair(self.context, self.files)
        except OSError as error:
            logger.warning('certificate not loaded: {}', error)
            return False
        self.stamp = stamp
        return True

    async def watch(self, clock: Clock) -> None:
        """Load the files again whenever they change."""
        while True:
            await clock.sleep(RELOAD_S)
            self.reload()


class PeerTls:
    """Give the credentials of connections between instances."""

    __slots__ = ('files', 'stamp')

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self.stamp: Stamp = ()

    def open_channel(self) -> grpc.ChannelCredentials:
        """Return what an instance shows to the one it asks."""
        try:
            authority, key, certificate = self._read()
        except OSError as error:
            raise PeerAwayError(f'{error.filename}: not readable') from error
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def open_server(self) -> grpc.ServerCredentials:
        """Return what asks each handshake for the newest files."""
        try:
            first = self._configure()
        except OSError as error:
            raise ListenError(f'{error.filename}: not readable') from error
        return grpc.dynamic_ssl_server_credentials(
            first, self._find_newer, require_client_authentication=True
        )

    async def watch(
        self, clock: Clock, renew: Callable[[], Awaitable[None]]
    ) -> None:
        """Renew the channels whenever the files change."""
        seen = self.stamp
        while True:
            await clock.sleep(RELOAD_S)
            try:
                stamp = read_stamp(self.files)
            except OSError:
                continue
            if stamp != seen:
                seen = stamp
                await renew()

    def _configure(self) -> grpc.ServerCertificateConfiguration:
        self.stamp = read_stamp(self.files)
        authority, key, certificate = self._read()
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )

    def _find_newer(self) -> grpc.ServerCertificateConfiguration | None:
        try:
            if read_stamp(self.files) == self.stamp:
                return None
            return self._configure()
        except OSError:
            return None

    def _read(self) -> tuple[bytes, bytes, bytes]:
        files = self.files
        return (
            Path(files.authority or '').read_bytes(),
            Path(files.key).read_bytes(),
            Path(files.certificate).read_bytes(),
        )


def open_context() -> ssl.SSLContext:
    """Return a context for servers without a certificate yet."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def load_pair(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load a certificate and its key or raise OSError."""
    context.load_cert_chain(files.certificate, files.key)


def read_stamp(files: TlsFiles) -> Stamp:
    """Return what changes when a file is replaced."""
    named = (files.certificate, files.key, files.authority)
    stats = [Path(name).stat() for name in named if name is not None]
    return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)
