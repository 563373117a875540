"""Counters, logs and latency histograms."""
