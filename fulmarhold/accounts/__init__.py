"""Client accounts of callers: their keys, and what each of them may use."""
