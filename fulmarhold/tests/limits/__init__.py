"""Tests of fulmarhold.limits."""
