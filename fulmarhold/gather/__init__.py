"""Scatter of a query over the shards of one snapshot and gathering of the parts."""
