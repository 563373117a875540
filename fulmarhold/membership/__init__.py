"""Upstream announcements, their leases, and the messages between entries and control."""
