"""Find free ports on loopback."""

import socket


def find_port() -> int:
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return bound.getsockname()[1]
