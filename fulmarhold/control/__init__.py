"""The control daemon: accepted configuration, entry roster, idempotency claims and feeds."""
