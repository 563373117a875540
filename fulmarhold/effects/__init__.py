"""Execution of non-idempotent requests at most once."""
