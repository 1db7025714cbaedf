"""Addresses of the form ``ip:port`` (IPv4)."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Return whether a text names an IPv4 address and a port that can be dialled.

    Examples
    --------
    >>> is_address("10.0.0.1:8080"), is_address("10.0.0.1:99999")
    (True, False)
    >>> is_address("999.1.1.1:80"), is_address("10.0.0.1:0")
    (False, False)
    """
    host, _, port = text.rpartition(":")
    return is_ip(host) and is_port(port)


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port that can be dialled."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT


def check_address(text: str) -> str:
    """Return an address.

    Raises
    ------
    ValueError
        If the text is no address.
    """
    if not is_address(text):
        raise ValueError(f"must be IP:PORT with a port from 1 to {MAX_PORT}")
    return text


def is_ip(text: str) -> bool:
    """Return whether a text is an IPv4 address in dotted form."""
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If the text is no address.
    """
    host, _, port = check_address(address).rpartition(":")
    return host, int(port)
