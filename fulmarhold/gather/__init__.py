"""Scatter-gather of idempotent queries over the shards of one snapshot."""
