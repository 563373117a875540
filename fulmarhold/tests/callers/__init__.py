"""Tests of fulmarhold.callers."""
