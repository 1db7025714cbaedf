"""Raw bytes over TCP, for input that no HTTP library would send."""

import contextlib
import socket


def connect(address: str, timeout_s: float = 15.0) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=timeout_s)


def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return everything up to the end of the connection."""
    with connect(address) as connection:
        # The server may refuse before it has read everything.
        with contextlib.suppress(OSError):
            connection.sendall(data)
        return read_all(connection)


def read_all(connection: socket.socket) -> bytes:
    parts = []
    try:
        while part := connection.recv(65536):
            parts.append(part)
    except ConnectionResetError:
        pass
    return b"".join(parts)
