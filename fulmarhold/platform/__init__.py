"""Adapter: translates the users' platform to our own types, and starts the daemons there."""
