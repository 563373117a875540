"""Validation of IP addresses and endpoints (IP:port) in settings and messages."""

from __future__ import annotations

from ipaddress import ip_address

MAX_PORT = 65_535


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

    >>> check_endpoint("10.0.0.1:80")
    '10.0.0.1:80'
    """
    address, _, port = value.rpartition(":")
    check_address(address)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"must be IP:port with a port from 1 to {MAX_PORT}, got {value!r}")
    return value
