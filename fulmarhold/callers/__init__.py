"""A small client for callers: entry discovery, requests and checks of stand-in responses."""
