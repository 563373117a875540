"""A query tier for sharded services whose answers report their coverage and data version."""

__version__ = "0.1.0"
