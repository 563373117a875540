"""Randomized soak test: runs the real daemons, injects faults and checks the guarantees."""
