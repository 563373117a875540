"""Stand-in upstreams for tests, the demo and the bench."""
