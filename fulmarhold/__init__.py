"""A query tier over many shards that keeps its answers whole, current and honest."""

__version__ = "0.1.0"
