"""Validation of IP addresses and endpoints (IP:port) in settings and messages."""

from __future__ import annotations

from ipaddress import ip_address

MAX_PORT = 65_535
# Longer than any IPv6 address with a port.
MAX_ENDPOINT_LENGTH = 64


def check_address(value: str) -> str:
    """Return an IP address in its canonical form; raises `ValueError` if it is invalid.

    >>> check_address("10.0.0.1")
    '10.0.0.1'
    """
    try:
        return str(ip_address(value))
    except ValueError:
        raise ValueError(f"must be an IP address, got {value!r}") from None


def check_endpoint(value: str) -> str:
    """Return an endpoint; raises `ValueError` if it isn't IP:port.

    An IPv6 address with the name of an interface is refused, since it means nothing elsewhere.

    >>> check_endpoint("10.0.0.1:80")
    '10.0.0.1:80'
    """
    if len(value) > MAX_ENDPOINT_LENGTH:
        raise ValueError(f"must be IP:port, got {len(value)} characters")
    address, _, port = value.rpartition(":")
    check_address(address)
    if "%" in address:
        raise ValueError(f"must not name an interface, got {value!r}")
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"must be IP:port with a port from 1 to {MAX_PORT}, got {value!r}")
    return value
