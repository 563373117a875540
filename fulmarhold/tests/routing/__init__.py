"""Tests of fulmarhold.routing."""
