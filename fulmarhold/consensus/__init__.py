"""Raft consensus: the replicated log of the control instances."""
