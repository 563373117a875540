"""Forwards requests of callers to one upstream or to every shard."""
