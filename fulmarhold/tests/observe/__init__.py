"""Tests of fulmarhold.observe."""
