"""Tests of the soak: its checks, and a short run."""
