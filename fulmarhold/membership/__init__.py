"""Upstream announcements, leases and what entries tell each other."""
