"""A randomized soak: the real daemons as processes, faults from outside, promises checked."""
