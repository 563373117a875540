"""Forwarding of callers' requests to one upstream or to one upstream of every shard."""
