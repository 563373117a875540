"""The demo: a whole fleet on loopback with a caller."""
