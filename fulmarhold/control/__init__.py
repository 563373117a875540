"""The control daemon: accepted configuration, entry roster and claims."""
