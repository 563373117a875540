"""The demo: a complete fleet on loopback with callers."""
