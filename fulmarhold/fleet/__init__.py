"""A whole fleet as separate processes on loopback, for the demo, the bench and tests."""
