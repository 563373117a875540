"""Operators' work that reads state."""
