"""Operators' work that changes state."""
