"""Admission of queries, concurrency limits, budgets for extra load, and retry delays."""
