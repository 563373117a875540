"""Configurations of routes and their look-up."""
