"""Adapter for the users' platform: converts its formats to internal types, starts the daemons."""
