"""Runs a fleet of separate processes on loopback, for the demo, the bench and tests."""
