"""Read where certificates and keys are."""

from currantspur.messages.base import Message
from currantspur.settings.document import Cursor


class TlsFiles(Message):
    """Name the files of a certificate, its key and who signs the others'."""

    __slots__ = ('authority', 'certificate', 'key')

    def __init__(
        self, *, certificate: str, key: str, authority: str | None = None
    ) -> None:
        """Take paths of PEM files."""
        self.certificate = certificate
        self.key = key
        self.authority = authority


def read_caller_tls(root: Cursor) -> TlsFiles | None:
    """Return the files for connections of callers, None for plain ones."""
    cursor = root.child('tls')
    if cursor.absent:
        return None
    files = TlsFiles(
        certificate=cursor.text('certificate'), key=cursor.text('key')
    )
    cursor.finish()
    return files


def read_peer_tls(root: Cursor) -> TlsFiles | None:
    """Return the files for connections of instances, None for plain ones."""
    cursor = root.child('peer_tls')
    if cursor.absent:
        return None
    files = TlsFiles(
        certificate=cursor.text('certificate'),
        key=cursor.text('key'),
        authority=cursor.text('authority'),
    )
    cursor.finish()
    return files
