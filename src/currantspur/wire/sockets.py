"""Open TCP sockets that detect an unresponsive peer."""

import socket
from typing import Any

# A peer without power or network does not respond: three probes, one second
# apart, detect that within four seconds. Data that is not acknowledged for as
# long closes the connection as well.
PROBE_INTERVAL_S = 1
MAX_PROBES = 3
USER_TIMEOUT_MS = 4000


def open_keepalive_socket(address_info: Any) -> socket.socket:
    """Return a TCP socket with keep-alive probes, for an HTTP client.

    The argument begins with family, type and protocol, as from getaddrinfo.
    """
    tcp_socket = socket.socket(*address_info[:3])
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return tcp_socket
