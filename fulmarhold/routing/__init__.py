"""Choice of the replica that serves a sub-request."""
