"""Tests of fulmarhold.entry."""
