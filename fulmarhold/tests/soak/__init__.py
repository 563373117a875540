"""Tests of the soak: what it checks, and a short run."""
