"""Typed messages over msgpack streams between Fulmarhold's own processes."""
