"""Open sockets that notice a peer that has gone silent."""

import socket
from typing import Any

# A peer without power or behind a cut answers nothing: three probes a second
# apart find that within four seconds.
PROBE_INTERVAL_S = 1
MAX_PROBES = 3
USER_TIMEOUT_MS = 4000


def open_keepalive_socket(address: Any) -> socket.socket:
    """Return a TCP socket with keep-alive probes, for an HTTP client."""
    opened = socket.socket(*address[:3])
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, amount)
    return opened
