"""A small client for callers: finds entry instances, asks them, judges answers of stand-ins."""
