"""Tests of fulmarhold.forwarding."""
