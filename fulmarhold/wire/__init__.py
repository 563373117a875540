"""Typed messages over msgpack streams between the system's own processes."""
