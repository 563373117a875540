"""Measurements on loopback with stand-in upstreams."""
