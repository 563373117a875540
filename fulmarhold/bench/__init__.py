"""Benchmarks on the loopback interface, with stand-in upstreams."""
