"""A stand-in upstream for tests, the demo and the bench."""
